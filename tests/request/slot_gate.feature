Feature: Waiting for a slot

  Scenario: A slot given to a call at its deadline goes to the next call
    Given a slot gate whose only slot is taken and two waiting calls
    When the wait of the first one is cancelled and the slot is released in the same event loop iteration
    Then the second waiting call has the slot of the gate
    And no other call holds a slot of the gate
