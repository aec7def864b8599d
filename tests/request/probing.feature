Feature: Entry daemons probe a few upstreams before a call

  Many entry daemons each send few calls to many upstreams, so what an entry
  daemon knows of an upstream is seconds old by its next call there. In most
  scenarios, the same calls run in a deployment with probing and in one
  without. They run in virtual time through the dispatcher, upstream selection
  and admission of the product. There are 12 upstreams of 6 slots in 3 zones,
  a call takes 100 ms, and its objective is 300 ms.

  Scenario: A third of the upstreams is four times slower
    Given 36 entries that probe 3 upstreams
    And upstreams 0, 1, 2, 3 are 4 times slower
    When 120 calls a second come for 6 s
    Then at most half as many calls are late with probing as without
    And every call with probing is answered

  Scenario: Upstreams fail before the membership has noticed
    Given 36 entries that probe 3 upstreams
    And upstreams 4, 8 do not respond
    When 120 calls a second come for 4 s
    Then no call with probing is lost
    And at most 10 probes of each entry got no reply

  Scenario: Calls of one zone exceed the capacity of its upstreams
    Given 36 entries that probe 3 upstreams
    When 260 calls a second come for 4 s to the entries of one zone
    Then at least 0.99 of the calls with probing meet their objective

  Scenario: Upstreams slow down for short periods
    Given 36 entries that probe 3 upstreams
    And a quarter of the upstreams is 5 times slower for 150 ms each
    When 120 calls a second come for 6 s
    Then at most half as many calls are late with probing as without
    And the calls waited less with probing than without

  Scenario: Calls stay in their zone while it is likely to meet the objective
    Given 36 entries that probe 3 upstreams
    When 60 calls a second come for 4 s
    Then at least 0.95 of the calls with probing stayed in their zone
    And at most 3 upstreams were probed for a call

  Scenario: Probes stay within the budget, and calls go on without probes
    Given 36 entries that probe 3 upstreams with a budget of 4 messages a second
    When 120 calls a second come for 4 s
    Then no entry sent more than 2 probes in any second
    And every call with probing is answered

  Scenario: An entry daemon that stalled does not penalize missing replies
    Given 36 entries that probe 3 upstreams
    When an entry stands still for 2 s while it waits for replies
    Then it probes the same upstreams again at once

  Scenario: A restarted or draining upstream is avoided
    Given 36 entries that probe 3 upstreams
    And upstream 0 restarted and upstream 3 takes no work
    When 60 calls a second come for 2 s
    Then every call with probing is answered
    And upstreams 0, 3 got no attempts from entries that probed them

  Scenario: Probing spreads calls evenly over the upstreams
    Given 3 entries that probe 3 upstreams
    When 300 calls a second come for 4 s
    Then no upstream ran more than 1.5 times the mean
