Feature: Late reports of an upstream bring no departed incarnation back

  # Guards against work for an upstream that deregistered before its daemon restarted.
  Scenario: The first report after a start is held until a health check succeeds
    Given a daemon that has just started
    When "i-1" of start 1000 sends report 5 at 10 s
    Then the report is held
    And a health check is needed
    When a health check of "i-1" succeeds at 10.2 s
    Then the health check counts
    When "i-1" of start 1000 sends report 6 at 11 s
    Then the report is announced
    And no health check is needed

  Scenario: A report that announces a drain counts at once
    Given a daemon that has just started
    When "i-1" of start 1000 sends the draining report 5 at 10 s
    Then the report is announced
    When "i-1" of start 1000 sends report 4 at 11 s
    Then the report is ignored
    When a health check of "i-1" succeeds at 11.1 s
    Then the health check does not count

  Scenario: A departed process stays away, a later one under its name does not
    Given a daemon that has just started
    When a health check of "i-1" succeeds at 1 s
    And "i-1" of start 1000 sends report 5 at 2 s
    And "i-1" departs at 3 s
    And "i-1" of start 1000 sends report 4 at 7 s
    Then the report is ignored
    When a health check of "i-1" succeeds at 7.1 s
    Then the health check does not count
    When "i-1" of start 9000 sends report 1 at 10 s
    Then the report is announced

  Scenario: A departure during a health check drops the held report
    Given a daemon that has just started
    When "i-1" of start 1000 sends report 5 at 10 s
    And "i-1" departs at 10.1 s
    And a health check of "i-1" succeeds at 10.2 s
    Then the health check does not count

  Scenario: A health check of another instance leaves the held report aside
    Given a daemon that has just started
    When "i-1" of start 1000 sends report 5 at 10 s
    And a health check of "i-2" succeeds at 10.2 s
    Then the health check counts
    When "i-2" of start 8000 sends report 3 at 11 s
    Then the report is announced
    When "i-1" of start 1000 sends report 6 at 11.5 s
    Then the report is ignored

  Scenario: A later process is announced at once
    Given a daemon that has just started
    When a health check of "i-1" succeeds at 1 s
    And "i-1" of start 1000 sends report 5 at 2 s
    And "i-2" of start 6000 sends report 1 at 6 s
    Then the report is announced

  Scenario: An older report after a silence is held, as the clock may have been set back
    Given a daemon that has just started
    When a health check of "i-1" succeeds at 1 s
    And "i-1" of start 9000 sends report 5 at 2 s
    And "i-2" of start 6000 sends report 1 at 4 s
    Then the report is ignored
    When "i-2" of start 6000 sends report 2 at 6 s
    Then the report is held
    When a health check of "i-2" succeeds at 6.1 s
    Then the health check counts

  Scenario: A number that is far too large does not shut the upstream out
    Given a daemon that has just started
    When a health check of "i-1" succeeds at 1 s
    And "i-1" of start 1000 sends report 9000000 at 2 s
    And "i-1" of start 1000 sends report 3 at 6 s
    Then the report is held
    When a health check of "i-1" succeeds at 6.1 s
    Then the health check counts

  Scenario: An upstream whose health check fails is used once its reports went on for a minute
    Given a daemon that has just started
    When "i-1" of start 1000 sends report 5 at 0 s
    And "i-1" of start 1000 sends report 45 at 59 s
    Then the report is held
    When "i-1" of start 1000 sends report 46 at 61 s
    Then the report is announced

  Scenario: Reports that repeat one number never count as going on
    Given a daemon that has just started
    When "i-1" of start 1000 sends report 5 at 0 s
    And "i-1" of start 1000 sends report 5 at 61 s
    Then the report is held

  Scenario: No order of late reports, departures, restarts and health checks brings one back
    When the fuzzer of upstream reports runs 500 examples with seed 1
    Then the fuzzer found no invariant violation

  Scenario Outline: The fuzzer of upstream reports detects a filter without <part>
    Given upstream reports without <part>
    When the fuzzer of upstream reports runs 2000 examples with seed 1
    Then the fuzzer found an invariant violation

    Examples:
      | part                                 |
      | the holding of first reports         |
      | departures                           |
      | the order of reports                 |
      | departures during a health check     |
      | health checks                        |
