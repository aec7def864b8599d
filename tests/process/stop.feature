Feature: Processes stop gracefully without errors

  Scenario: A deployment stops gracefully
    Given a deployment with 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When every process is asked to stop
    Then every process ends with exit code 0 and no traceback in its log
