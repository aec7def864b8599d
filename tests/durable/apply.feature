Feature: Applying a file is decided once

  Scenario: A file sent again gets its first answer, also when others came since
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

  Scenario: Applies, faults and crashes agree with a dictionary
    Then the register fuzzer finds nothing in 150 examples

  Scenario: The register fuzzer finds a read of what a quorum disagrees on
    Given reads that return the newest value of a quorum that disagrees
    Then the register fuzzer finds a broken promise in 600 examples
