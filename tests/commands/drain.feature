Feature: Operators drain a daemon

  Scenario: Repeated drains leave the drain list and its revision unchanged
    When the drain changes "+b +a +a -b -c" are applied
    Then the drain list is "a" with revision 3

  Scenario: A drained daemon gets no new work until the drain ends
    Given a deployment with 2 job-sheets, 1 archive
    And the file "examples/cedarline.toml" is in force everywhere
    When the operator runs "drain job-sheets-0"
    Then the operator sees exit code 0 and "drained by operators: job-sheets-0"
    And within 2 seconds "job-sheets-0" gets none of 40 calls through "archive-0"
    When the operator runs "status"
    Then the operator sees exit code 0 and "drained by an operator"
    When control replica "control-0" is killed and started again
    And the operator runs "drain nobody"
    Then the operator sees exit code 1 and "no such daemon is present"
    When the operator runs "drain job-sheets-0 --undo"
    Then the operator sees exit code 0 and "drained by operators: none"
    And within 4 seconds "job-sheets-0" gets some of 40 calls through "archive-0"
