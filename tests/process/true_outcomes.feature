Feature: Each caller receives the correct outcome of its own call

  Scenario: Queued, cancelled, large and resent calls
    Given a deployment with 1 job-sheets, 2 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When call "key-together" of 700 ms runs as POST through "entry-0"
    Then a resend of "key-together" through "entry-1" has the outcome "answered"
    And call "key-together" ran 1 time(s)
    When 6 resends of "key-many" are sent at the same time
    Then all resends got the same answer and "key-many" ran 1 time(s)
    When the upstream of "job-sheets-0" answers with 5000 bytes
    And call "key-large" of 10 ms runs as POST through "entry-0"
    Then call "key-large" has the outcome "answered"
    And a resend of "key-large" through "entry-1" gets no stored answer
    When the upstream of "job-sheets-0" answers with 17000000 bytes
    And call "too-large" of 10 ms runs as GET through "entry-0"
    Then the answer to call "too-large" was too large
    When the upstream of "job-sheets-0" has 1 slot
    And call "running" of 1500 ms runs as POST through "entry-0"
    Then a call with 300 ms left through "entry-1" has the outcome "not-run" and the cause "deadline"
    And call "running" has the outcome "answered"
    When a caller of a GET through "entry-0" disconnects
    Then the upstream of "job-sheets-0" saw 1 cancelled call(s)
    When a caller of a POST through "entry-0" disconnects
    Then the upstream of "job-sheets-0" saw 1 cancelled call(s)
    And the abandoned call ran to completion
    When the control replicas are killed
    Then a resend of "key-new" through "entry-0" has the outcome "not-run"
    When call "still-served" of 10 ms runs as POST through "entry-0"
    Then call "still-served" has the outcome "answered"
