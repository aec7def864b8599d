Feature: Entries ask a few upstreams for their load before a call

  Load pattern: many entries that each send few calls to many upstreams. What an
  entry saw of an upstream is seconds old by the time of its next call there.
  The calls run in virtual time, through the product's dispatcher, asker and
  admission; 12 upstreams of 6 slots stand in 3 zones, a call takes 100 ms, and
  its objective is 300 ms.

  Scenario: A third of the upstreams is four times slower
    Given 36 entries that ask 3 upstreams
    And upstreams 0, 1, 2, 3 are 4 times slower
    When 120 calls a second come for 6 s
    Then at most half as many of the asked calls are late as without asking
    And every asked call is answered

  Scenario: Upstreams are gone before the membership tells so
    Given 36 entries that ask 3 upstreams
    And upstreams 4, 8 are gone
    When 120 calls a second come for 4 s
    Then no asked call is lost
    And each entry left at most 10 questions unanswered

  Scenario: The clients of one zone want more than its upstreams can run
    Given 36 entries that ask 3 upstreams
    When 260 calls a second come for 4 s to the entries of one zone
    Then at least 0.99 of the asked calls meet their objective

  Scenario: Upstreams have slow moments
    Given 36 entries that ask 3 upstreams
    And a quarter of the upstreams is 5 times slower for 150 ms each
    When 120 calls a second come for 6 s
    Then at most half as many of the asked calls are late as without asking
    And the asked calls waited less than without asking

  Scenario: Calls stay in the zone while its upstreams are likely to be in time
    Given 36 entries that ask 3 upstreams
    When 60 calls a second come for 4 s
    Then at least 0.95 of the asked calls stayed in their zone
    And at most 3 upstreams were asked for a call

  Scenario: Questions keep to the budget, and calls go on without them
    Given 36 entries that ask 3 upstreams with a budget of 4 messages a second
    When 120 calls a second come for 4 s
    Then no entry sent more than 2 questions in any second
    And every asked call is answered

  Scenario: An entry that stood still blames nobody for missing replies
    Given 36 entries that ask 3 upstreams
    When an entry stands still for 2 s while it waits for replies
    Then it asks the same upstreams again at once

  Scenario: An upstream that restarted or leaves is avoided
    Given 36 entries that ask 3 upstreams
    And upstream 0 restarted and upstream 3 takes no work
    When 60 calls a second come for 2 s
    Then every asked call is answered
    And upstreams 0, 3 were sent nothing by who had asked them

  Scenario: Calls of one entry fill the upstreams evenly
    Given 3 entries that ask 3 upstreams
    When 300 calls a second come for 4 s
    Then no upstream ran more than 1.5 times the mean
