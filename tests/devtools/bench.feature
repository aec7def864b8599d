Feature: Benchmark calculations

  Scenario: An arrival schedule is open-loop, seeded and keeps its rate
    Given a bench schedule of 400 calls a second for 50 s with seed 7
    Then the bench schedule has from 19400 to 20600 arrivals in order
    And the bench schedule with seed 7 is identical
    And the bench schedule with seed 8 is different
    And a bench schedule of 0 calls a second is empty

  Scenario: Percentiles cover the calls of all load processes
    Given bench figures of two load processes with 1 ms 90 times and 100 ms 10 times
    Then the merged bench row has 100 calls, a median of 1 ms and a 99th percentile of 100 ms

  Scenario: A line is fitted by least squares
    Then the bench line through 1,5 and 2,7 and 3,9 has gradient 2 and intercept 3
    And a bench line through points with one x value is rejected

  Scenario: Arms alternate in turns that fill the duration
    Then in 2 s the bench arms a,b get 4 turns of 0.25 s each

  Scenario: A step is quiet only with enough idle and little steal time
    Then bench ticks of 100 idle 50 steal 1 are quiet
    And bench ticks of 100 idle 50 steal 5 are not quiet
    And bench ticks of 100 idle 10 steal 0 are not quiet

  Scenario: A report describes its origin without host names or paths
    Given a bench result of scenario latency with seed 3
    Then the bench table names latency, seed 3, the revision, cores and load
    And the bench file decodes to the same bench result

  Scenario: A plot is a PNG image and needs latencies
    Given a bench result of scenario latency with seed 3
    Then the bench plot of a run without latencies is rejected
    And the bench plot of a run with latencies is a PNG image
