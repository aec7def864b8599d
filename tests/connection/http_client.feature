Feature: The HTTP edge towards an upstream

  An upstream may send what belongs to no request; none of it reaches a caller.

  Scenario Outline: What an upstream sends decides the result and the connection
    Given an upstream that answers with <script>
    When two requests are sent to it one after the other
    Then the results are <first> and <second>
    And <connections> connections were opened

    Examples:
      | script                           | first    | second   | connections |
      | whole answers                    | answer 1 | answer 2 | 1           |
      | whole answers and close          | answer 1 | answer 2 | 2           |
      | an extra answer behind the first | answer 1 | answer 2 | 2           |
      | a late answer before the second  | answer 1 | answer 2 | 1           |
      | no length and an end             | answer 1 | answer 2 | 2           |
      | no length and a reset            | broken   | broken   | 2           |
      | half an answer                   | broken   | broken   | 2           |
      | no HTTP                          | broken   | broken   | 2           |
      | an interim answer first          | answer 1 | answer 2 | 1           |

  Scenario: An upstream that does not listen was sent nothing
    Given an upstream that does not listen
    When two requests are sent to it one after the other
    Then the results are not connected and not connected
