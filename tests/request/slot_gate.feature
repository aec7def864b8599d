Feature: Waiting for a slot

  Scenario: A slot that falls to a call at its deadline goes to the next one
    Given a slot gate with one slot that is taken and two waiting calls
    When the wait of the first one is cut and the slot comes free in the same turn
    Then the second waiting call has the slot of the gate
    And no slot of the gate is held by anyone else
