Feature: The real programs keep every guarantee in a soak

  Scenario: A short soak with a fixed seed violates no guarantee
    When the soak runs 8 s with seed 7
    Then the soak found no violated guarantee
    And the soak saw at least 200 calls and 2 accepted versions

  Scenario Outline: The soak's oracle detects each kind of violation
    Given a soak record in which <what>
    Then the soak's oracle finds "<problem>"

    Examples:
      | what                                               | problem                                          |
      | a non-idempotent call ran twice                    | m ran 2 times                                    |
      | a call reported as not run ran once                | m was reported as not run and ran 1 times        |
      | an answered call ran at no upstream                | m got an answer that is not its own              |
      | a call got the answer of another call              | m got an answer that is not its own              |
      | a call through an undisrupted entry got no outcome | m got no outcome from d                          |
      | a call through an undisrupted entry took 9 s       | m took 9.00 s at d                               |
      | two different files of one version were accepted   | two different files with version 4 were accepted |
      | a process served an older version than before      | d went from version 4 to 3                       |
      | a daemon read an endless answer for long           | a daemon took 90000000 bytes of an endless answer |

  Scenario Outline: The soak's oracle accepts what is allowed
    Given a soak record in which <what>
    Then the soak's oracle finds no problem

    Examples:
      | what                                         |
      | an idempotent call ran twice                 |
      | a call through a killed entry got no outcome |
      | a restarted process served an older version  |
      | a call with unknown outcome ran once         |
      | an entry was restarted long after its fault  |
