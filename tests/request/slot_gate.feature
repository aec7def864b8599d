Feature: Waiting for a slot

  Scenario: A slot given to a call at its deadline goes to the next call
    Given a slot gate with one slot that is taken and two waiting calls
    When the wait of the first one is cancelled and the slot is released in the same event loop iteration
    Then the second waiting call has the slot of the gate
    And no slot of the gate is held by anyone else
