Feature: Calls wait while their upstream is temporarily slow

  Load pattern: an upstream that shares its VM runs work 5 times slower in
  steps of 150 ms; work that starts in such a step stays slow.

  Scenario Outline: A call waits if it ends sooner by waiting
    Given an upstream whose pace changed 0.01 s ago from 1 to <pace>
    Then a call of <cost> ms should wait for a better pace: <waits>

    Examples:
      | pace | cost | waits |
      | 5    | 200  | yes   |
      | 5    | 10   | no    |
      | 1.3  | 200  | no    |
      | 1    | 200  | no    |

  Scenario: Calls do not wait for an upstream that stays slow
    Given an upstream whose pace changed 3 s ago from 1 to 5
    Then a call of 200 ms should wait for a better pace: no

  Scenario: A cold upstream has another usual pace
    Given an upstream whose pace changed 2 s ago from 2 to 2
    Then a call of 200 ms should wait for a better pace: no

  Scenario: Short calls overtake held ones, which start at the usual pace
    Given an admission queue of 4 slots at pace 5
    When a call of 200 ms and a call of 5 ms are offered
    Then the call of 200 ms waits and the call of 5 ms runs
    When the pace is 1 again
    Then the call of 200 ms runs

  Scenario: A waiting short call is not kept by a held one before it
    Given an admission queue of 1 slots at pace 1
    When a call of 21 ms with 5000 ms left is offered
    And a call of 30 ms with 1000 ms left is offered
    And a call of 20 ms with 2000 ms left is offered
    And the pace is 5 again
    And the call of 21 ms ends
    Then the call of 30 ms waits and the call of 20 ms runs

  Scenario: A held call that can no longer end in time is refused at once
    Given an admission queue of 4 slots at pace 5
    When a call of 200 ms with 250 ms left is offered
    And 60 ms pass at pace 5
    Then the call of 200 ms is refused

  Scenario: Holding calls keeps most of them within their objective
    Given 3 upstreams of 14 slots that are 5 times slower in a third of the steps of 150 ms
    When 60 calls a second of 200 ms arrive for 20 s
    Then at least 0.95 of them end within 600 ms with holding
    And at most 0.80 of them end within 600 ms without holding

  Scenario Outline: All slots are used unless contention lowers the throughput
    Given an upstream of 18 slots whose calls take <factor> times as long when more than 14 run
    When 200 calls of 100 ms have run with as many at a time as admitted
    Then <limit> calls may run at the same time

    Examples:
      | factor | limit |
      | 1      | 18    |
      | 1.7    | 14    |

  Scenario: A pace of 0 is no report
    Given an upstream whose pace changed 0.1 s ago from 1 to 0
    Then a call of 100 ms should wait for a better pace: no
    And a call of 100 ms is expected to take 100 ms
