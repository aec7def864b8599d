Feature: Nested calls

  An upstream calls another service while it runs a call. If that nested call
  is not served, the work of its parent is lost.

  Scenario: A call named after a running call is nested
    Given a call "p7" that runs at the local upstream
    Then a call with ID "p7.1a" that arrives at its daemon is sent as nested
    And a call with ID "p8.1a" that arrives at its daemon is sent as new
    And a call with ID "p7" that arrives at its daemon is sent as new

  Scenario: A call named after a call that has ended is new
    Given a call "p7" that has ended at the local upstream
    Then a call with ID "p7.1a" that arrives at its daemon is sent as new
    And no call is tracked as running

  Scenario: A parent gives precedence to a limited number of calls
    Given a call "p7" that runs at the local upstream
    Then of 40 calls named after it, 16 are nested

  Scenario: Nested calls go before new calls of their rank
    Given an upstream whose only slot is taken
    When new calls of rank 1 and then a nested call of rank 1 and a new call of rank 0 wait
    Then the slots are given to "urgent, nested, first, second"

  Scenario: A nested call past its objective still goes before new calls
    Given an upstream whose only slot is taken
    When a nested call and new calls wait until the nested one missed its objective
    Then the next slot is given to "nested"

  Scenario: A full queue sheds new calls for nested ones, never the reverse
    Given an upstream whose only slot is taken
    When its queue of 2 is full of new calls and 3 nested calls arrive
    Then 2 new calls are shed and a new call of the same rank is refused

  Scenario Outline: The last slot is kept where long calls would hold all slots
    Given an upstream of 3 slots that runs 2 calls of <work> ms
    And a nested call of 37 ms with an objective of 199 ms came <ago> s ago
    Then a new call of <work> ms <verdict>
    And a nested call of 37 ms starts

    Examples:
      | work | ago | verdict |
      | 600  | 1   | waits   |
      | 600  | 11  | starts  |
      | 110  | 1   | starts  |

  Scenario: Parents are not lost while the called service is overloaded
    Given clients load service b to 1.4 times its capacity while calls to service a make nested calls to it
    When the same load runs for 8 s without and with recognition of nested calls
    Then without it, at least 30 parents are answered 500, with it none
    And at least 0.98 of the parents meet their objective, at most 0.8 did before
    And service b completes at least as much work in time as before
