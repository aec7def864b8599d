Feature: Requests that crash upstreams are contained

  Scenario Outline: Crash reports are merged in any order and any number of times
    Given 2 crash reports of one request and the first of them marked as cleared
    When a block list merges them in the order <order>
    Then the block list treats the request as "suspect"

    Examples:
      | order   |
      | 0 1 2   |
      | 2 1 0   |
      | 0 0 2 1 2 1 0 |

  Scenario: A request is blocked after 2 crashes, for a limited time
    Given 2 crash reports of one request
    When a block list merges them in the order 0 1
    Then the block list treats the request as "blocked"
    And 601 seconds later the block list treats the request as "clear"

  Scenario: Requests in progress during the same crash are not blocked for it
    Given a limit of 1 crash and one crash with 3 requests in progress
    Then the block list treats all 3 requests as "suspect"

  Scenario: All daemons try a suspect at the same upstream, one that it has not crashed
    Given 1 crash report of one request
    When a block list merges them in the order 0
    Then every order of 3 members gives the same upstream for the trial, which is not "u0"

  Scenario: The request is refused after 2 crashes while healthy calls are answered
    Given a deployment with 3 job-sheets, 1 archive
    And the file "examples/cedarline.toml" is in force everywhere
    And crashed upstreams are restarted
    When a crashing GET "/job-sheets/sheets/bad" is sent 8 times through all daemons in turn
    Then upstreams crashed at most 2 times
    And the last crashing call has the outcome "not-run" and the cause "crash-suspect"
    And healthy calls sent meanwhile were all answered
    When the operator runs "status"
    Then the operator sees exit code 0 and "blocked after crashes: f60a9ece2bb838fd81c7be6aee356548"
    And probes of every daemon are answered within 20 messages per second
