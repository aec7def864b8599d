Feature: The model checker finds the violations that it must find

  Scenario: Without catch-up, two contents of one version are accepted
    Then the model without catch-up has a counterexample

  Scenario: First ballots and chained rounds keep the property
    Then the model "first ballots" holds
    And the model "first ballots alone" holds
    And the model "chained applies race" holds

  # Guards against values that are served undecided, or decided and never served.
  Scenario: Replicas serve decided values only, and in the end all of them
    Then the model "serving" has both properties
    And the model "serving, no confirmation" lacks "what was acknowledged is served by all replicas in the end"
    And the model "serving, no quorum read" lacks "only decided values are served"
