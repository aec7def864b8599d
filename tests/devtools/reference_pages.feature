Feature: The documentation matches the declarations in the code

  Scenario: The committed reference pages are up to date
    When the reference pages are generated
    Then each committed reference page equals the generated one
    And the alerts page names only declared metrics
    And the callers page lists every refusal cause
    And the example systemd units set the required and no unknown variables
