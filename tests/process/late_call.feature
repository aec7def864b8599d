Feature: A call on the last accepted connection is answered during a stop

  Scenario: A caller connects before the listener closes and sends its call afterwards
    Given a deployment with 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When a caller connects to "job-sheets-0" 0.3 s after its SIGTERM and sends its call 1.3 s later
    Then that late call is answered
    And daemon "job-sheets-0" ends with exit code 0
