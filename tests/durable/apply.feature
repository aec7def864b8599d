Feature: Each applied file is decided once

  Scenario: A file that is sent again gets its first answer, also after later files
    Given no configuration is accepted
    Then applying version 1 as "x" decides: accepted 1
    And applying version 1 as "x" decides: accepted 1
    And applying version 1 as "y" decides: refused 1
    And applying version 3 as "z" decides: accepted 3
    And applying version 1 as "x" decides: accepted 1
    And applying version 1 as "y" decides: refused 3
    And applying version 2 as "w" decides: refused 3
    And applying version 3 as "z" decides: accepted 3
    And the configuration in force is version 3 as "z"

  Scenario: The history of decisions is bounded
    Given no configuration is accepted
    When versions 1 to 100 are applied
    Then applying version 100 as "x" decides: accepted 100
    And applying version 36 as "x" decides: accepted 36
    And applying version 35 as "x" decides: refused 100

  Scenario: Applies with faults and crashes match a reference dictionary
    Then the register fuzzer finds no invariant violation in 150 examples

  Scenario: The register fuzzer detects reads from a quorum that disagrees
    Given reads that return the newest value even if the quorum disagrees
    Then the register fuzzer finds an invariant violation in 600 examples
