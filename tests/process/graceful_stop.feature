Feature: A graceful stop interrupts no call and accepts no new work

  Scenario: Daemons are stopped under load
    Given a deployment with 3 job-sheets, 2 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When 6 callers send calls through "entry-0, entry-1"
    And call "long" of 3000 ms runs as POST through "entry-1"
    And the daemon that admitted it gets SIGTERM
    And daemon "entry-0" gets SIGTERM
    Then daemon "entry-0" ends with exit code 0
    And call "long" has the outcome "answered"
    And each of their calls was answered and ran once

  Scenario: A draining upstream finishes its calls and receives no new ones
    Given a deployment with 2 job-sheets, 1 entry
    And the file "tests/process/outcomes.toml" is in force everywhere
    When 4 callers send calls through "entry-0"
    And the upstream of "job-sheets-0" announces a drain
    And 2 s pass
    Then the upstream of "job-sheets-0" receives no new calls
    And each of their calls was answered and ran once
    When call "slow" of 2000 ms runs as POST through "entry-0"
    And daemon "job-sheets-1" gets SIGTERM
    And 0.3 s pass
    And daemon "job-sheets-1" gets SIGTERM
    Then daemon "job-sheets-1" ends with exit code 1
