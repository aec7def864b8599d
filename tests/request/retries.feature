Feature: Retries and hedges share one budget

  Calls go through the dispatcher to 3 scripted upstreams.

  Scenario: A slow idempotent call is hedged and the slower attempt is cancelled
    Given retried calls that are idempotent with a hedge after 1 ms
    And retried attempt 1 never answers
    When 1 retried call is sent
    Then the retried calls are answered
    And 2 retried attempts went to different upstreams
    And 1 retried attempt was cancelled and 1 token was spent

  Scenario: A call that is answered in time is not hedged
    Given retried calls that are idempotent with a hedge after 60000 ms
    When 1 retried call is sent
    Then the retried calls are answered
    And 1 retried attempts went to different upstreams

  Scenario: A non-idempotent call is neither hedged nor retried after a loss
    Given retried calls that are not idempotent with a hedge after 1 ms
    And retried attempt 1 is lost after 20 ms
    When 1 retried call is sent
    Then the retried calls are unknown
    And 1 retried attempts went to different upstreams

  Scenario: A refused call is retried at another upstream
    Given retried calls that are not idempotent with a hedge after 0 ms
    And retried attempt 1 is refused
    When 1 retried call is sent
    Then the retried calls are answered
    And 2 retried attempts went to different upstreams

  Scenario: A hedge that is refused leaves the first attempt running
    Given retried calls that are idempotent with a hedge after 1 ms
    And retried attempt 1 answers after 20 ms
    And retried attempt 2 is refused
    When 1 retried call is sent
    Then the retried calls are answered
    And 2 retried attempts went to different upstreams

  Scenario: Retries stay within the budget when every attempt is refused
    Given retried calls that are idempotent with a hedge after 0 ms
    And every retried attempt is refused
    When 200 retried calls are sent
    Then the retried calls are not run
    And at most 230 retried attempts were made

  Scenario: Hedges stay within the budget when every attempt is slow
    Given retried calls that are idempotent with a hedge after 1 ms
    And every retried attempt answers after 5 ms
    When 200 retried calls are sent
    Then the retried calls are answered
    And at most 230 retried attempts were made

  Scenario: The backoff is exponential with full jitter and has a limit
    Then the wait before retry 1 spreads from 0 to 5 ms
    And the wait before retry 3 spreads from 0 to 20 ms
    And the wait before retry 9 spreads from 0 to 100 ms

  Scenario: A call to a full service is sent once to each upstream and gets a retry-after time
    Given retried calls that are idempotent with a hedge after 0 ms
    And the daemons share 0.2 retries a call and 62 in 10 s
    And refused calls may ask one more upstream each
    And every retried attempt is refused
    When 8 retried calls are sent
    Then the retried calls are not run
    And 24 attempts were made, 3 of each call at different upstreams
    And the times to return spread over at least 0.03 s and end within 3.4 s

  Scenario: A retry after a refusal by a daemon does not spend the shared budget
    Given retried calls that are not idempotent with a hedge after 0 ms
    And the daemons share 0.0 retries a call and 0 in 10 s
    And retried attempt 1 is refused
    When 1 retried call is sent
    Then the retried calls are answered

  Scenario: A lost idempotent call is not retried without shared budget
    Given retried calls that are idempotent with a hedge after 0 ms
    And the daemons share 0.0 retries a call and 0 in 10 s
    And retried attempt 1 is lost after 1 ms
    When 1 retried call is sent
    Then the retried calls are unknown

  Scenario: A call that caused one crash of two is retried
    Given retried calls that are idempotent with a hedge after 0 ms
    And the dispatcher contains requests that crash upstreams
    And retried attempt 1 crashed its upstream
    And retried attempt 2 was lost in a crash of another call
    When 1 retried call is sent
    Then the retried calls are answered
    And 3 retried attempts went to different upstreams

  Scenario: A call that caused two crashes is not retried
    Given retried calls that are idempotent with a hedge after 0 ms
    And the dispatcher contains requests that crash upstreams
    And retried attempt 1 crashed its upstream
    And retried attempt 2 crashed its upstream
    When 1 retried call is sent
    Then the retried calls are unknown
    And 2 retried attempts went to different upstreams

  Scenario: Refusals by daemons do not count towards the attempts of a lost call
    Given retried calls that are idempotent with a hedge after 0 ms
    And retried attempt 1 is lost after 1 ms
    And retried attempt 2 is leaving
    And retried attempt 3 is leaving
    When 1 retried call is sent
    Then the retried calls are answered

  Scenario: A hedge that fails leaves the first attempt running and starts no third
    Given retried calls that are idempotent with a hedge after 1 ms
    And 2 upstreams may be sent a retried call
    And retried attempt 1 answers after 40 ms
    And retried attempt 2 fails after 5 ms
    When 1 retried call is sent
    Then the retried calls are answered
    And 2 retried attempts went to different upstreams

  Scenario: An attempt and its hedge both count towards max_attempts
    Given retried calls that are idempotent with a hedge after 1 ms
    And 2 upstreams may be sent a retried call
    And retried attempt 1 is lost after 20 ms
    And retried attempt 2 is lost after 40 ms
    When 1 retried call is sent
    Then the retried calls are unknown
    And 2 retried attempts went to different upstreams

  Scenario: A refusal instead of a wait for a slot spends no retry
    Given retried calls that are not idempotent with a hedge after 0 ms
    And 1 upstreams may be sent a retried call
    And retried attempt 1 is bounced
    And retried attempt 2 is bounced
    When 20 retried calls are sent
    Then the retried calls are answered
    And no retry token was spent

  Scenario: A call gets a retry-after time while no upstream is known
    Given retried calls that are not idempotent with a hedge after 0 ms
    And the service has no upstream
    When 8 retried calls are sent
    Then the retried calls are not run
    And the times to return spread over at least 0.1 s and end within 3.4 s
    And the retry-after times are at least 0.3 s
