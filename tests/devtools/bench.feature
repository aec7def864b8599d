Feature: The bench's arithmetic

  Scenario: An arrival schedule is open-loop, seeded and keeps its rate
    Given a bench schedule of 400 calls a second for 50 s with seed 7
    Then the bench schedule has from 19400 to 20600 arrivals in order
    And the bench schedule with seed 7 is the same again
    And the bench schedule with seed 8 is another one
    And a bench schedule of 0 calls a second is empty

  Scenario: Percentiles of several load processes are those of all calls
    Given bench figures of two load processes with 1 ms 90 times and 100 ms 10 times
    Then the merged bench row has 100 calls, a median of 1 ms and a 99th percentile of 100 ms

  Scenario: A slope is the least squares line
    Then the bench slope of 1,5 and 2,7 and 3,9 is 2 from 3
    And the bench slope of one abscissa is refused

  Scenario: Turns are shared among the arms and fill the time
    Then bench turns of arms a,b for 2 s in slices of 0.25 s are 4 for each arm

  Scenario: A slice is quiet only if cores were idle and none was stolen
    Then bench ticks of 100 idle 50 stolen 1 are quiet
    And bench ticks of 100 idle 50 stolen 5 are not quiet
    And bench ticks of 100 idle 10 stolen 0 are not quiet

  Scenario: A report says where it comes from and has no names or paths
    Given a bench result of scenario latency with seed 3
    Then the bench table names latency, seed 3, the revision, cores and load
    And the bench file decodes to the same bench result

  Scenario: A plot is an image with a series for each percentile
    Given a bench result of scenario latency with seed 3
    Then the bench plot of a run without latencies is refused
    And the bench plot of a run with latencies is a PNG image
