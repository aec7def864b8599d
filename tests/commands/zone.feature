Feature: Operators evacuate an availability zone

  # Guards against orders that are lost or reported wrongly.
  Scenario: An evacuated zone is listed until it is restored
    Given a deployment with 1 job-sheets, 1 archive
    And the file "examples/cedarline.toml" is in force everywhere
    When the operator runs "zone evacuate nowhere"
    Then the operator sees exit code 1 and "no process of this zone is known"
    When the operator runs "zone evacuate"
    Then the operator sees exit code 2 and "evacuate needs a zone"
    When the operator runs "zone evacuate vancouver"
    Then the operator sees exit code 0 and "evacuated zones: vancouver"
    And within 4 s a call through "archive-0" is refused as "zone-evacuated"
    When the operator runs "status"
    Then the operator sees exit code 0 and "evacuated zones: vancouver"
    When control replica "control-0" is killed and started again
    And the operator runs "zone list --json"
    Then the operator sees exit code 0 and "{"evacuated":["vancouver"]}"
    When the operator runs "zone restore vancouver"
    Then the operator sees exit code 0 and "evacuated zones: none"
    And within 4 s a call through "archive-0" is answered
    When the operator runs "zone"
    Then the operator sees exit code 0 and "evacuated zones: none"
