Feature: A cold upstream gets at most its rate of calls in any second

  # Guards against bursts at the borders of fixed seconds or of a full bucket.
  Scenario Outline: No second has more calls than the rate, however calls arrive
    Given a cold upstream that can handle <rate> calls a second
    When calls want to start for 20 s at random moments, <arrivals> a second
    Then at most <most> calls start in any second
    And at least <least> calls start

    Examples:
      | rate | arrivals | most | least |
      | 5    | 40       | 5    | 85    |
      | 5    | 400      | 5    | 90    |
      | 1.5  | 40       | 1    | 16    |
      | 0.2  | 40       | 1    | 16    |
      | 50   | 40       | 50   | 700   |

  # Guards against calls on top of those that were sent while it was warm.
  Scenario: Calls sent before an upstream becomes cold count
    Given a warm upstream that can handle 5 calls a second when it is cold
    When 20 calls start within 0.5 s
    And a health check reports a cold time of 4000 ms
    Then a call is refused as "cold-upstream" after 0 s
    And a call may start after 1.1 s

  # Guards against calls on top of those that a predecessor has sent.
  Scenario: A daemon that has just started sends nothing for a second
    Given a daemon that starts beside a cold upstream
    Then a call is refused as "cold-upstream" after 0.9 s
    And a call may start after 1.1 s

  # Guards against calls that were written late by a process that was frozen.
  Scenario: A daemon that was frozen sends nothing for a second
    Given a cold upstream that can handle 5 calls a second
    When the daemon is frozen for 2 s
    Then a call is refused as "cold-upstream" after 0.9 s
    And a call may start after 1.1 s

  # Guards against a limit where the configuration asks for none.
  Scenario Outline: Without a rate no call is refused
    Given a cold upstream whose service has a rate of <rate>
    Then a call may start after 0 s
    And its load report is as before

    Examples:
      | rate |
      | 0    |
      | none |

  # Guards against work that waits for the end of a cold time.
  Scenario: The refusal reports when the next call may start
    Given a cold upstream that can handle 2 calls a second
    When 2 calls start within 0.2 s
    Then its load report has a wait of 790 to 810 ms and a cold time of 3700 to 3900 ms
