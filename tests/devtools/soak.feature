Feature: A soak of the real programs keeps every promise

  Scenario: A short soak with a fixed seed breaks no promise
    When the soak runs 8 s with seed 7
    Then the soak found no broken promise
    And the soak saw at least 200 calls and 2 accepted versions

  Scenario Outline: The soak's oracle finds what breaks a promise
    Given a soak record in which <what>
    Then the soak's oracle finds "<problem>"

    Examples:
      | what                                            | problem                                |
      | a non-idempotent call ran twice                 | m ran 2 times                          |
      | a call that was told not run ran once           | m was told not run and ran 1 times     |
      | an answered call ran nowhere                    | m got an answer that is not its own    |
      | a call got the answer of another one            | m got an answer that is not its own    |
      | a call at a sound entry got no outcome          | m got no outcome from d                |
      | a call at a sound entry waited for 9 s          | m waited 9.00 s at d                   |
      | two contents of one version were accepted       | two contents of version 4 were accepted |
      | a process served an older version than before   | d went from version 4 to 3             |

  Scenario Outline: The soak's oracle lets pass what is allowed
    Given a soak record in which <what>
    Then the soak's oracle finds nothing

    Examples:
      | what                                               |
      | an idempotent call ran twice                       |
      | a call at a killed entry got no outcome            |
      | a restarted process served an older version        |
      | a call of unknown outcome ran once                 |
