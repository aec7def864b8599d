Feature: A link that goes silent is replaced and its calls are resolved

  Scenario: A middlebox between two daemons loses the state of their connections
    Given a forwarder for the links to "job-sheets-0" in a deployment of 1 job-sheets, 1 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When call "both-ways" of 500 ms runs as POST through "entry-0"
    And the links to "job-sheets-0" go silent in mode swallow
    Then call "both-ways" has the outcome "answered"
    And call "both-ways" ran 1 time(s)
    And the links to "job-sheets-0" were replaced
    When call "one-way" of 500 ms runs as POST through "entry-0"
    And the links to "job-sheets-0" go silent in mode swallow-back
    Then call "one-way" has the outcome "answered"
    And call "one-way" ran 1 time(s)
    And the links to "job-sheets-0" were replaced
    When call "idle-before" of 10 ms runs as POST through "entry-0"
    Then call "idle-before" has the outcome "answered"
    When the links to "job-sheets-0" go silent in mode swallow
    And call "idle-after" of 10 ms runs as POST through "entry-0"
    Then call "idle-after" has the outcome "answered"
    And call "idle-after" ran 1 time(s)
