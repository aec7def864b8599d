Feature: Admin endpoints show the current state and return errors as JSON

  Scenario: Readiness, metrics and bad requests of running processes
    Given a deployment with 1 job-sheets
    Then the admin endpoint "/readyz" of "job-sheets-0" has 503 and "no configuration yet"
    And the admin endpoint "/readyz" of "control-0" has 200 and "true"
    Given the file "examples/cedarline.toml" is in force everywhere
    Then the admin endpoint "/readyz" of "job-sheets-0" has 200 and "true"
    When a client sends GET "/job-sheets/sheets/17" through "job-sheets-0"
    And a client sends GET "/quarry/sheets/17" through "job-sheets-0"
    Then the admin metrics of "job-sheets-0" have
      """
      burdocklead_ready 1
      burdocklead_version_in_force 1
      burdocklead_calls_total{outcome="answered",service="job-sheets"} 1
      burdocklead_calls_total{outcome="not-run",service=""} 1
      burdocklead_call_seconds_count{outcome="answered",service="job-sheets"} 1.0
      burdocklead_call_seconds_bucket{le="+Inf",outcome="answered",service="job-sheets"} 1.0
      burdocklead_attempts_total{result="answered"} 1
      burdocklead_members{state="serving"} 1
      burdocklead_upstream_slots 20
      burdocklead_events_overwritten_total 0
      """
    And the admin metrics of "control-0" have
      """
      burdocklead_ready 1
      burdocklead_version_in_force 1
      burdocklead_members{state="serving"} 1
      """
    And the sync counter in the metrics of "control-0" equals that in its status
    And every declared metric follows the naming conventions
    And these admin requests of "job-sheets-0" are refused
      | method | path                   | body                                                          | status | error                       |
      | GET    | /v1/nothing            |                                                               | 404    | Not Found: GET /v1/nothing  |
      | POST   | /v1/upstream           | {}                                                            | 405    | Method Not Allowed          |
      | GET    | /v1/events?since=now   |                                                               | 400    | since: must be              |
      | PUT    | /v1/upstream           | {                                                             | 400    | truncated                   |
      | PUT    | /v1/upstream           | []                                                            | 400    | Expected `object`           |
      | PUT    | /v1/upstream           | {"service":"a","address":"b:1","slots":1}                     | 400    | must start with an IP       |
      | PUT    | /v1/upstream           | {"service":"job-sheets","address":"127.0.0.1:1","slots":0}    | 400    | >= 1                        |
      | PUT    | /v1/upstream           | {"service":"../a","address":"127.0.0.1:1","slots":1}          | 400    | matching regex              |
      | PUT    | /v1/upstream           | {"service":"a","address":"127.0.0.1:0","slots":1}             | 400    | the port must not be 0      |
      | PUT    | /v1/upstream           | {"service":"a","address":"127.0.0.1:1","slots":1,"lease_seconds":0} | 400 | >= 0.1               |
      | PUT    | /v1/upstream           | {"service":"a","address":"127.0.0.1:1","slots":1,"lease_seconds":1e9} | 400 | <= 3600            |
      | PUT    | /v1/upstream           | {"service":"a","address":"127.0.0.1:1","slots":1,"colour":1}  | 400    | unknown field               |
    And the admin metrics of "job-sheets-0" have
      """
      burdocklead_upstream_slots 20
      """
    And the admin endpoint "/readyz" of "job-sheets-0" has 200 and "true"
    When the processes "control-1, control-2" are killed
    Then the admin endpoint "/readyz" of "control-0" eventually has 503 and "no quorum"
    And the admin endpoint "/readyz" of "job-sheets-0" has 200 and "true"
    When the process "job-sheets-0" is asked to stop
    Then the admin endpoint "/readyz" of "job-sheets-0" eventually has 503 and "draining"

  Scenario: An unexpected error is logged once, counted and recorded as an event
    When a supervised task fails with "boom"
    Then the failure is logged once, counted once, recorded as an event and stops the process
    When a task that is never awaited fails with "boom"
    Then the failure is logged once, counted once, recorded as an event and stops nothing

  Scenario Outline: Log lines keep the message and its fields separate
    When the text "two words" and the peer "a=b" are logged as <form>
    Then the log line ends with <line>

    Examples:
      | form | line                                                                                        |
      | text | warning test: two words peer="a=b" call=c1                                                  |
      | json | {"peer":"a=b","call":"c1","time":"","level":"warning","channel":"test","message":"two words"} |
