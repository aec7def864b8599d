Feature: The model checker finds the violations that it must find

  Scenario: Without catch-up, two contents of one version are accepted
    Then the model without catch-up has a counterexample

  Scenario: First ballots and chained rounds keep the property
    Then the model "first ballots" holds
    And the model "first ballots alone" holds
    And the model "chained applies race" holds
