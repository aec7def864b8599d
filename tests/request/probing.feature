Feature: Entry daemons probe a few upstreams before a call

  Many entry daemons each send few calls to many upstreams, so what an entry
  daemon knows of an upstream is seconds old by its next call there. "Asked
  calls" are those of the deployment that probes (asks) before each call.
  The calls run in virtual time through the dispatcher, upstream selection and
  admission of the product. There are 12 upstreams of 6 slots in 3 zones, a call
  takes 100 ms, and its objective is 300 ms.

  Scenario: A third of the upstreams is four times slower
    Given 36 entries that ask 3 upstreams
    And upstreams 0, 1, 2, 3 are 4 times slower
    When 120 calls a second come for 6 s
    Then at most half as many of the asked calls are late as without asking
    And every asked call is answered

  Scenario: Upstreams fail before the membership has noticed
    Given 36 entries that ask 3 upstreams
    And upstreams 4, 8 do not respond
    When 120 calls a second come for 4 s
    Then no asked call is lost
    And each entry left at most 10 questions unanswered

  Scenario: Calls of one zone exceed the capacity of its upstreams
    Given 36 entries that ask 3 upstreams
    When 260 calls a second come for 4 s to the entries of one zone
    Then at least 0.99 of the asked calls meet their objective

  Scenario: Upstreams slow down for short periods
    Given 36 entries that ask 3 upstreams
    And a quarter of the upstreams is 5 times slower for 150 ms each
    When 120 calls a second come for 6 s
    Then at most half as many of the asked calls are late as without asking
    And the asked calls waited less than without asking

  Scenario: Calls stay in their zone while it is likely to meet the objective
    Given 36 entries that ask 3 upstreams
    When 60 calls a second come for 4 s
    Then at least 0.95 of the asked calls stayed in their zone
    And at most 3 upstreams were asked for a call

  Scenario: Probes stay within the budget, and calls go on without probes
    Given 36 entries that ask 3 upstreams with a budget of 4 messages a second
    When 120 calls a second come for 4 s
    Then no entry sent more than 2 questions in any second
    And every asked call is answered

  Scenario: An entry daemon that stalled does not penalize missing replies
    Given 36 entries that ask 3 upstreams
    When an entry stands still for 2 s while it waits for replies
    Then it probes the same upstreams again at once

  Scenario: A restarted or draining upstream is avoided
    Given 36 entries that ask 3 upstreams
    And upstream 0 restarted and upstream 3 takes no work
    When 60 calls a second come for 2 s
    Then every asked call is answered
    And upstreams 0, 3 got no attempts from entries that probed them

  Scenario: Probing spreads calls evenly over the upstreams
    Given 3 entries that ask 3 upstreams
    When 300 calls a second come for 4 s
    Then no upstream ran more than 1.5 times the mean
