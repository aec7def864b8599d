Feature: Starting and stopping local processes

  Scenario: Stopping all processes sends each of them one stop signal
    Given a deployment with 1 job-sheets
    When the local deployment stops all its processes
    Then every process ends with exit code 0 and no traceback in its log
    And every daemon's log reports the state stopped

  Scenario: The constraints pin versions and contain no local paths
    Then each line of the constraints pins one package

  Scenario: The kernel doesn't assign a reserved port, but a listener can bind it
    When 200 ports are reserved and the kernel assigns 400 others
    Then the kernel assigned no reserved port
    And a control listener can bind a reserved port
