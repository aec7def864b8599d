Feature: The local deployment is ended as an operator would end it

  Scenario: Stopping all processes asks each of them once
    Given a deployment with 1 job-sheets
    When the local deployment stops all its processes
    Then every process ends with exit code 0 and no traceback in its log
    And every daemon's log tells that it stopped

  Scenario: The pinned libraries name no folder of a machine
    Then each line of the constraints pins one library

  Scenario: A reserved port goes to the process it is meant for only
    When 200 ports are reserved and 400 others are taken from the kernel
    Then none of the others is reserved
    And a listener of the product takes a reserved port
