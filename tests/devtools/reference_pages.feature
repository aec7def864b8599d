Feature: The reference pages say what the code declares

  Scenario: The committed pages are those made from the declarations
    When the reference pages are made from the declarations
    Then each committed reference page is the same
    And the operators' page on alerts names only metrics that are declared
    And every refusal cause stands on the callers' page
    And the example files of the operators' pages are valid
