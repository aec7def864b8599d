Feature: Admission control of an upstream

  Calls arrive at an upstream of 20 slots on a simulated clock.

  Scenario Outline: Goodput stays flat beyond saturation
    Given an admission workload of seed 7 at <load> times saturation
    When admission control handles it for 8 seconds
    Then admission control reaches at least 0.95 of the goodput at saturation
    And admission control starts almost no call that cannot finish in time

    Examples:
      | load |
      | 1.5  |
      | 2.0  |
      | 3.0  |

  Scenario: Short calls do not wait behind long ones
    Given an admission workload of seed 11 where 5 of 100 calls run 60 times longer
    When admission control handles it for 30 seconds
    Then 99 of 100 short admission calls wait at most 2 short service times
    And a FIFO queue makes them wait longer
    And every long admission call is answered in time

  Scenario: Shedding takes the lowest priority first
    Given an admission workload of seed 3 of three priorities at 2.0 times saturation
    When admission control handles it for 8 seconds
    Then admission control answers at least 0.99 of the "high" priority calls
    And admission control answers more of the "normal" than of the "low" priority calls

  Scenario: The limit falls during a noisy neighbour's load and recovers
    Given an admission workload of seed 5 at 1.5 times saturation
    And a noisy neighbour takes 0.7 of the capacity from 4 to 12 seconds
    When admission control handles it for 20 seconds
    Then the admission limit was below 14 in the slow period
    And the admission limit is 20 at the end
    And the goodput in the slow period is higher than without the adaptive limit

  Scenario: A slowdown that does not depend on concurrency keeps the limit up
    Given an admission workload of seed 5 at 1.5 times saturation
    And each admission call is 3 times slower from 4 to 12 seconds
    When admission control handles it for 20 seconds
    Then the mean admission limit in the slow period was at least 16

  Scenario: A new upstream gets more slots as it warms up
    Given an admission workload of seed 9 at 1.0 times saturation
    And the first 40 admission calls take 10 times longer
    When admission control handles it for 5 seconds
    Then the admission limit was at most 6 after 0.05 seconds
    And the admission limit is 20 at the end

  Scenario: Outliers barely change a learned cost
    When a route of 5 ms is called 500 times and every 20th call takes 5000 ms
    Then its learned cost is between 4 and 6 ms

  Scenario: A learned cost above the timeout does not block a route for ever
    When a route's learned cost has grown beyond its timeout
    Then an idle upstream still admits a call of the route

  Scenario: A call that runs far beyond its usual cost counts as long
    Given admission control of 20 slots has learned that searches are long
    When 15 admission calls of the short route run 9 times their usual cost
    Then admission control queues a search
    And admission control starts a short call at once
