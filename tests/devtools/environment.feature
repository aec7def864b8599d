Feature: Hooks of the test runner

  Scenario: The folder of a scenario outlives the processes of its steps
    Given a scenario whose step starts a process that writes into its folder
    When the scenario ends
    Then the folder was there when the process was ended
    And the folder is gone
