Feature: The cold time follows health checks and survives odd reports

  # Guards against reports that shut an upstream out or let too much work in.
  Scenario Outline: The latest health check decides, late heartbeats do not
    Given an upstream whose service has a cold time of 5 s
    When it reports "<reports>"
    Then its remaining cold time is <remaining> s

    Examples:
      | reports                                  | remaining |
      | check 4000                               | 4         |
      | check 4000, check 0                      | 0         |
      | check 4000, wait 1, heartbeat 0          | 3         |
      | check 0, wait 1, heartbeat 4000          | 0         |
      | check 0, wait 6, heartbeat 4000          | 4         |
      | heartbeat 4000                           | 4         |
      | assumed                                  | 5         |
      | assumed, wait 2                          | 3         |
      | assumed, check 0                         | 0         |
      | assumed, wait 1, heartbeat 0             | 4         |
      | assumed, check none, heartbeat 0         | 0         |
      | check 0, assumed, heartbeat 0            | 5         |
      | check 4000, another instance 0           | 4         |
      | assumed, another instance 0              | 5         |

  # Guards against an upstream that one odd figure keeps cold.
  Scenario Outline: A figure that is not possible is logged and ignored
    Given an upstream whose service has a cold time of 5 s
    When it reports "check 1000, check <figure>, heartbeat <figure>"
    Then its remaining cold time is 1 s
    And the odd figure is logged once

    Examples:
      | figure  |
      | 5002    |
      | 1e300   |
      | inf     |
      | nan     |
      | -1      |

  Scenario: A report from before the configuration was known is limited by it
    Given an upstream whose service is not known
    When it reports "check 40000"
    And its service has a cold time of 5 s
    Then its remaining cold time is 5 s
    When it reports "wait 5"
    Then its remaining cold time is 0 s

  # Guards against a herd on a cold upstream, and against one that is left out.
  Scenario Outline: Entries prefer warm upstreams less and less
    Given an entry in "north" with a cold upstream there and a warm one in "south" that is <slower> ms slower
    When the cold one reports <cold> ms and <age> s pass
    Then the entry prefers the one in "<zone>"

    Examples:
      | cold  | age | slower | zone  |
      | 10000 | 0   | 700    | south |
      | 10000 | 9.5 | 700    | north |
      | 10000 | 0   | 1200   | north |
      | 0     | 0   | 5      | north |
