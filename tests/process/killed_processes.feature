Feature: Callers get the correct outcome when processes are killed or suspended

  Scenario: Processes are killed while calls are in progress
    Given a deployment with 4 job-sheets, 2 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When call "key-entry" of 1500 ms runs as POST through "entry-0"
    And daemon "entry-0" gets SIGKILL
    Then call "key-entry" got no response
    And a resend of "key-entry" through "entry-1" has the outcome "answered"
    And call "key-entry" ran 1 time(s)
    When call "key-admitting" of 1500 ms runs as POST through "entry-1"
    And the daemon that admitted it gets SIGKILL
    Then call "key-admitting" has the outcome "unknown"
    And a resend of "key-admitting" through "entry-1" has the outcome "unknown"
    And call "key-admitting" ran 1 time(s)
    When call "read" of 600 ms runs as GET through "entry-1"
    And the daemon that admitted it gets SIGKILL
    Then call "read" has the outcome "answered"
    When call "plain" of 1500 ms runs as POST through "entry-1"
    And the upstream that runs it gets SIGKILL
    Then call "plain" has the outcome "unknown"

  Scenario: A daemon is suspended and resumed
    Given a deployment with 1 job-sheets, 1 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When call "key-stopped" of 300 ms runs as POST through "entry-0"
    And the daemon that admitted it gets SIGSTOP
    And 1.2 s pass
    And the daemon that admitted it gets SIGCONT
    Then call "key-stopped" has the outcome "answered"
    And call "key-stopped" ran 1 time(s)
