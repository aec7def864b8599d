Feature: API keys of teams decide which calls are accepted

  # Guards against calls that are accepted without a valid key, and against
  # refusals of calls that the configuration allows.
  Scenario Outline: A call is accepted or refused by its API key
    Given a daemon whose configuration has a team "blue" with the keys "k-1" and "k-2"
    When a call to <route> route arrives with <headers>
    Then <decision>

    Examples:
      | route        | headers                                   | decision                            |
      | the keyed    | "X-Api-Key: k-1"                          | the call is of the team "blue"      |
      | the keyed    | "x-api-key: k-2; X-Tenant: red"           | the call is of the team "blue"      |
      | the keyed    | "X-Tenant: blue"                          | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key:"                              | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key: k-11"                         | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key: K-1"                          | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key: k-1; X-Api-Key: k-2"          | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key: k-1é"                         | the call is refused as unauthorized |
      | the keyed    | "X-Api-Key: blue"                         | the call is refused as unauthorized |
      | the open     | "X-Tenant: blue"                          | the call is of no team              |
      | the open     | "X-Api-Key:"                              | the call is of no team              |
      | the open     | "X-Api-Key: k-1"                          | the call is of the team "blue"      |
      | the open     | "X-Api-Key: k-9"                          | the call is refused as unauthorized |

  # Guards against a key or a name of a team that reaches an upstream.
  Scenario Outline: The key and the team that a client names are not forwarded
    Given a daemon whose configuration has a team "<team>" with the keys "k-1" and "k-2"
    When a call to the open route arrives with "<headers>"
    Then the upstream receives the header "X-Tenant" as "<received>"
    And no header that the upstream receives contains "k-1"

    Examples:
      | team | headers                        | received |
      | blue | X-Api-Key: k-1; X-Tenant: red  | blue     |
      | blü  | X-Api-Key: k-1                 | blü      |

  # Guards against a client that poses as a team on a route that needs no key.
  Scenario: Without a key, no team is forwarded
    Given a daemon whose configuration has a team "blue" with the keys "k-1" and "k-2"
    When a call to the open route arrives with "X-Tenant: red; x-tenant: blue"
    Then the upstream receives no header "X-Tenant"

  # Guards against a change for deployments without teams.
  Scenario: Without teams, both headers are forwarded like any other
    Given a daemon whose configuration has no teams
    When a call to the keyed route arrives with "X-Api-Key: k-1; X-Tenant: red"
    Then the call is of no team
    And the upstream receives the header "X-Tenant" as "red"
    And the upstream receives the header "X-Api-Key" as "k-1"

  # Guards against 401 from a daemon that can't know the keys yet.
  Scenario: A daemon without a configuration refuses a call before its key
    Given a daemon without a configuration
    When a call to the keyed route arrives with "X-Api-Key: k-9"
    Then the call is refused as not configured

  Scenario Outline: The rank of the team goes before the rank of the route
    Given a daemon whose configuration has a team "blue" of rank <team rank> with the keys "k-1" and "k-2"
    When a call to the keyed route arrives with "X-Api-Key: k-1"
    Then the rank of the call is <rank>

    Examples:
      | team rank | rank |
      | 0         | 0    |
      | 5         | 5    |
      | none      | 3    |

  # Guards against refusals that can't be traced to a team, and against log lines
  # that change for calls without one.
  Scenario Outline: The log line of a call without an answer names its team
    Given a daemon whose configuration has a team "blue" with the keys "k-1" and "k-2"
    When a call to the open route arrives with "X-Api-Key: <key>"
    Then the log line of the call has <team> and no "<key>"

    Examples:
      | key  | team            |
      | k-1  | the team "blue" |
      | k-91 | no team         |

  # Guards against metrics that grow with each team of each version.
  Scenario: Calls are counted for at most 128 teams
    Given the metrics of calls by team
    When each of 300 teams has 2 calls answered, and then again
    Then the metrics have 128 teams and 1200 calls
    And a call without a team is not counted

  # Guards against refusals of calls that the newest version allows, by a daemon
  # that is cut off from control and doesn't have it.
  Scenario Outline: A daemon that is cut off from control doesn't refuse calls for good
    Given a daemon whose configuration has <teams>
    And a quorum of control confirmed the configuration <age> s ago
    When a call to <route> route arrives with "X-Api-Key: <key>"
    Then the call is <decision>

    Examples:
      | teams                                        | age  | route      | key | decision                |
      | a team "blue" with the keys "k-1" and "k-2"  | 1.0  | the keyed  | k-9 | refused as unauthorized |
      | a team "blue" with the keys "k-1" and "k-2"  | 1.0  | an unknown | k-1 | refused as not routed   |
      | a team "blue" with the keys "k-1" and "k-2"  | 2.5  | the keyed  | k-9 | refused as unsure       |
      | a team "blue" with the keys "k-1" and "k-2"  | 2.5  | an unknown | k-1 | refused as unsure       |
      | a team "blue" with the keys "k-1" and "k-2"  | 2.5  | the keyed  | k-1 | of the team "blue"      |
      | no teams                                     | 99.0 | an unknown | k-1 | refused as not routed   |
