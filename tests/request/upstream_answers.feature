Feature: Which answers of an upstream are believed

  A faulty upstream may write an earlier answer or an earlier refusal once more
  on a kept connection. A caller never gets the answer to another call, and is
  never told that a call did not run if it may have run.

  Scenario Outline: An earlier refusal is written once more
    Given an upstream of the <dialect> dialect that refuses its first request
    And that writes the refusal again before it answers a repeat on the same connection
    When a non-idempotent attempt is sent twice with the same ID
    Then the first result is a refusal and the second one is the answer
    And the repeat was sent on a new connection

    Examples:
      | dialect  |
      | own      |
      | platform |

  Scenario Outline: A refusal on a connection that was used before
    Given an upstream of the <dialect> dialect that refuses its second request <how>
    When two non-idempotent attempts are sent
    Then the second result is <result>

    Examples:
      | dialect  | how            | result    |
      | own      | with its ID    | a refusal |
      | own      | without any ID | lost      |
      | platform | with its ID    | a refusal |
      | platform | without any ID | lost      |

  Scenario Outline: A second copy of an answer is written late
    Given an upstream of the <dialect> dialect that writes its first answer again before the second one
    When two non-idempotent attempts are sent
    Then the second result is its own answer

    Examples:
      | dialect  |
      | own      |
      | platform |

  Scenario: Without an echoed ID no connection is used twice
    Given an upstream of the own dialect that never sends an ID
    When two non-idempotent attempts are sent
    Then the second result is its own answer
    And 2 connections were used

  Scenario Outline: A status that promises no run without proof of it
    Given an upstream of the platform dialect that answers with status <status>
    When two non-idempotent attempts are sent
    Then the second result is lost

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario: Many refused requests are forgotten together with their connections
    Given an upstream of the own dialect that refuses every request
    When more attempts are refused than the pool remembers
    Then a request that was refused first is sent on a new connection

  # Guards against a status outside of 100 to 599 that is passed on to a caller,
  # and against a caller that waits for another answer behind it.
  Scenario Outline: A status that HTTP does not define
    Given an upstream of the <dialect> dialect that answers with the status text <status>
    When two non-idempotent attempts are sent
    Then both results are lost without waiting for the deadline
    And 2 connections were used

    Examples:
      | dialect  | status |
      | own      | 000    |
      | own      | 600    |
      | platform | 000    |
      | platform | 001    |
      | platform | 099    |
      | platform | 600    |
      | platform | 999    |
      | platform | 20     |
      | platform | 2000   |
      | platform | 101    |
