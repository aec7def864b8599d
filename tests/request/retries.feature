Feature: Retries and hedges share one budget

  Calls go through the dispatcher to 3 scripted upstreams.

  Scenario: A slow idempotent call is hedged and the slower attempt is cancelled
    Given dispatched calls that are idempotent with a hedge after 1 ms
    And dispatched attempt 1 never answers
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 2 dispatched attempts went to different upstreams
    And 1 dispatched attempt was cancelled and 1 token was spent

  Scenario: A call that is answered in time is not hedged
    Given dispatched calls that are idempotent with a hedge after 60000 ms
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 1 dispatched attempts went to different upstreams

  Scenario: A non-idempotent call is neither hedged nor retried after a loss
    Given dispatched calls that are not idempotent with a hedge after 1 ms
    And dispatched attempt 1 is lost after 20 ms
    When 1 dispatched call is sent
    Then the dispatched calls are unknown
    And 1 dispatched attempts went to different upstreams

  Scenario: A refused call is retried at another upstream
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And dispatched attempt 1 is refused as queue-full
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 2 dispatched attempts went to different upstreams

  Scenario: A hedge that is refused leaves the first attempt running
    Given dispatched calls that are idempotent with a hedge after 1 ms
    And dispatched attempt 1 answers after 20 ms
    And dispatched attempt 2 is refused as queue-full
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 2 dispatched attempts went to different upstreams

  Scenario: Retries stay within the budget when every attempt is refused
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And every dispatched attempt is refused
    When 200 dispatched calls are sent
    Then the dispatched calls are not run
    And at most 230 dispatched attempts were made

  Scenario: Hedges stay within the budget when every attempt is slow
    Given dispatched calls that are idempotent with a hedge after 1 ms
    And every dispatched attempt answers after 5 ms
    When 200 dispatched calls are sent
    Then the dispatched calls are answered
    And at most 230 dispatched attempts were made

  Scenario: The backoff is exponential with full jitter and has a limit
    Then the backoff before retry 1 spreads from 0 to 5 ms
    And the backoff before retry 3 spreads from 0 to 20 ms
    And the backoff before retry 9 spreads from 0 to 100 ms

  Scenario: A call to a full service is sent once to each upstream and gets a retry-after time
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And the daemons share a budget of 0.2 retries per call plus 62 per 10 s
    And the service has the retry ratio of host routes
    And every dispatched attempt is refused
    When 8 dispatched calls are sent
    Then the dispatched calls are not run
    And 24 attempts were made, 3 of each call at different upstreams
    And the retry-after times spread over at least 0.03 s and are at most 3.4 s

  Scenario: A retry after a refusal by a daemon does not spend the shared budget
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And the daemons share a budget of 0.0 retries per call plus 0 per 10 s
    And dispatched attempt 1 is refused as queue-full
    When 1 dispatched call is sent
    Then the dispatched calls are answered

  Scenario: A lost idempotent call is not retried without shared budget
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And the daemons share a budget of 0.0 retries per call plus 0 per 10 s
    And dispatched attempt 1 is lost after 1 ms
    When 1 dispatched call is sent
    Then the dispatched calls are unknown

  Scenario: A call that caused one crash of two is retried
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And the dispatcher blocks requests that crash upstreams
    And dispatched attempt 1 crashed its upstream
    And dispatched attempt 2 was lost in a crash caused by another call
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 3 dispatched attempts went to different upstreams

  Scenario: A call that caused two crashes is not retried
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And the dispatcher blocks requests that crash upstreams
    And dispatched attempt 1 crashed its upstream
    And dispatched attempt 2 crashed its upstream
    When 1 dispatched call is sent
    Then the dispatched calls are unknown
    And 2 dispatched attempts went to different upstreams

  Scenario: Refusals by daemons do not count towards the attempts of a lost call
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And dispatched attempt 1 is lost after 1 ms
    And dispatched attempt 2 is refused as draining
    And dispatched attempt 3 is refused as draining
    When 1 dispatched call is sent
    Then the dispatched calls are answered

  Scenario: A hedge that fails leaves the first attempt running and starts no third
    Given dispatched calls that are idempotent with a hedge after 1 ms
    And max_attempts is 2 for the dispatched calls
    And dispatched attempt 1 answers after 40 ms
    And dispatched attempt 2 fails after 5 ms
    When 1 dispatched call is sent
    Then the dispatched calls are answered
    And 2 dispatched attempts went to different upstreams

  Scenario: An attempt and its hedge both count towards max_attempts
    Given dispatched calls that are idempotent with a hedge after 1 ms
    And max_attempts is 2 for the dispatched calls
    And dispatched attempt 1 is lost after 20 ms
    And dispatched attempt 2 is lost after 40 ms
    When 1 dispatched call is sent
    Then the dispatched calls are unknown
    And 2 dispatched attempts went to different upstreams

  Scenario: A refusal instead of a wait for a slot spends no retry
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And max_attempts is 1 for the dispatched calls
    And dispatched attempt 1 is refused as not-at-once
    And dispatched attempt 2 is refused as not-at-once
    When 20 dispatched calls are sent
    Then the dispatched calls are answered
    And no retry token was spent

  Scenario: A call gets a retry-after time while no upstream is known
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And the service has no upstream
    When 8 dispatched calls are sent
    Then the dispatched calls are not run
    And the retry-after times spread over at least 0.1 s and are at most 3.4 s
    And the retry-after times are at least 0.3 s

  Scenario: Taking over a claim is not an attempt
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And max_attempts is 2 for the dispatched calls
    And every dispatched attempt is refused
    When a keyed call is sent whose key is claimed by an attempt that never ran
    Then 2 dispatched attempts went to different upstreams

  Scenario: Keyed calls earn the shared budget that their retries spend
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    And the daemons share a budget of 0.2 retries per call plus 10 per 10 s
    When 8 keyed calls are sent
    Then the dispatched calls are answered
    And the shared budget counts 8 first attempts
