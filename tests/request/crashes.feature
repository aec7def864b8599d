Feature: Requests that crash upstreams are contained

  Scenario Outline: Crash reports are merged in any order and any number of times
    Given crash reports of 2 crashes of one request and its clearance from the first
    When a block list takes them in order <order>
    Then the crash suspect's standing is "suspect"

    Examples:
      | order   |
      | 0 1 2   |
      | 2 1 0   |
      | 0 0 2 1 2 1 0 |

  Scenario: A request is blocked after 2 crashes, for a limited time
    Given crash reports of 2 crashes of one request
    When a block list takes them in order 0 1
    Then the crash suspect's standing is "blocked"
    And 601 seconds later the crash suspect's standing is "clear"

  Scenario: Requests in progress during the same crash are not blocked for it
    Given a limit of 1 crash and a crash of 3 requests at once
    Then all 3 crash suspects' standing is "suspect"

  Scenario: All daemons try a suspect at the same upstream, one that it has not crashed
    Given crash reports of 1 crash of one request
    When a block list takes them in order 0
    Then every order of 3 members gives the same trial place, which is not "u0"

  Scenario: The request is refused after 2 crashes while healthy calls are answered
    Given a deployment with 3 job-sheets, 1 archive
    And the file "examples/cedarline.toml" is in force everywhere
    And upstreams are started again whenever they crash
    When a crashing GET "/job-sheets/sheets/bad" is resent 8 times through every daemon
    Then upstreams crashed at most 2 times
    And the last crashing call has the outcome "not-run" and the cause "crash-suspect"
    And healthy calls sent meanwhile were all answered
    When the operator runs "status"
    Then the operator sees exit code 0 and "blocked after crashes: f60a9ece2bb838fd81c7be6aee356548"
    And probes of every daemon are answered within 20 messages a second
