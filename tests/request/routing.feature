Feature: Routing on stale load reports

  Six entry daemons share six upstreams of 4 slots in three availability zones
  in simulated time. Load reports arrive with the answers.

  Scenario Outline: A straggler gets few calls whatever load it reports
    Given a routing straggler that is <factor> times slower from 2 to 5 seconds and reports <report>
    When calls are routed at 0.6 of the capacity with seed 17
    Then the routed 99th percentile in the slow period is below that of every baseline
    And fewer than 1 of 18 routed attempts went to the straggler

    Examples:
      | factor | report         |
      | 10     | truthfully     |
      | 10     | itself as idle |
      | 3      | itself as idle |

  Scenario: Sampling beats random and two choices under steady load
    Given routing without faults
    When calls are routed at 0.8 of the capacity with seed 19
    Then the routed 99th percentile is below that of random and two choices

  Scenario: Preferring the own availability zone does not raise tail latency
    Given routing without faults
    When calls are routed at 0.5 of the capacity with seed 17
    Then at least 0.5 of routed attempts stay in their availability zone
    And the routed 99th percentile is not above that without the zone preference

  Scenario: A draining upstream gets almost no new calls
    Given a routing upstream that refuses all as draining from 2 to 5 seconds
    When calls are routed at 0.6 of the capacity with seed 17
    Then at most 24 routed attempts reach it in its first second
    And every routed call is answered

  Scenario: A draining upstream is avoided unless no other is left
    When a router sees a refusal as "draining" from one of 2 upstreams
    Then it chooses the other one 200 times
    And it chooses the avoided one if the other was tried

  Scenario: A choice scores only a few of many upstreams
    When a router chooses among 300 upstreams
    Then it scored at most 4 of them
    And it chooses at least 90 of 100 times in its own availability zone

  Scenario: An upstream with overdue answers is avoided before attempts are lost
    When a router waits for 5 answers of 5 ms of one of 2 upstreams for 100 ms
    Then it chooses the other one 200 times

  Scenario: A hedge that is cancelled makes no other attempt overdue
    When a router cancels 1 of 3 attempts of 100 ms in flight at an upstream after 150 ms
    Then the other attempts are not overdue 50 ms later
    And they are overdue 400 ms later

  Scenario: Calls that took no measurable time
    When a router records answers after 0 ms, 0 ms and 5 ms
    Then their upstream is scored by a finite latency
