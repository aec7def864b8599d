Feature: Rate limits of teams on a stand-in platform

  The programs run as real processes on loopback. The bound is the rate in a
  window of 5 s plus the burst, plus a tenth and 20 calls.

  # Guards against limits that each daemon applies for itself, against refusals
  # of a team within its limit, and against a Retry-After that is too early.
  Scenario: A team over its limit is refused at two daemons, another one is not
    Given a platform with teams "large" of 10 per s and "small" of 5 per s
    When "large" sends 40 per s and "small" sends 3 per s to both daemons for 8 s
    Then the served calls of "large" stay within the bound
    And "large" is served at least 60 calls
    And each refusal of "large" is a 429 with Retry-After
    And no call of "small" is refused
    And a call of "large" after its Retry-After is served

  # Guards against a second lease holder that grants what the first one did.
  Scenario: The lease holder is killed
    Given a platform with teams "large" of 10 per s and "small" of 5 per s
    When "large" sends 40 per s for 14 s and the lease holder is killed after 4 s
    Then the served calls of "large" stay within the bound
    And "large" is served at least 60 calls
    And another replica holds the lease

  # Guards against messages and register writes of a deployment without limits.
  Scenario: Without a team with a limit there is no lease
    Given a platform with teams "large" of 0 per s and "small" of 0 per s
    When "large" sends 40 per s and "small" sends 3 per s to both daemons for 2 s
    Then no call of "large" is refused
    And no replica holds the lease
