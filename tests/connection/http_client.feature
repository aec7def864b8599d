Feature: HTTP client for an upstream

  Unsolicited, late and malformed data from an upstream never reaches a caller.

  Scenario Outline: Results and connection reuse for an upstream's responses
    Given an upstream that sends <script>
    When two consecutive requests are sent to it
    Then the results are <first> and <second>
    And <connections> connections were opened

    Examples:
      | script                                    | first    | second   | connections |
      | complete answers                          | answer 1 | answer 2 | 1           |
      | complete answers and closes               | answer 1 | answer 2 | 2           |
      | an unsolicited answer after the first one | answer 1 | answer 2 | 2           |
      | a late answer before the second one       | answer 1 | answer 2 | 1           |
      | answers without a length and closes       | answer 1 | answer 2 | 2           |
      | answers without a length and resets       | broken   | broken   | 2           |
      | truncated answers                         | broken   | broken   | 2           |
      | invalid HTTP                              | broken   | broken   | 2           |
      | interim responses before the answers      | answer 1 | answer 2 | 1           |
      | answers without an ID                     | answer 1 | answer 2 | 2           |
      | a second answer without an ID             | answer 1 | broken   | 1           |
      | a trailer with another ID                 | answer 1 | answer 2 | 1           |
      | a keep-alive time that is no decimal      | answer 1 | answer 2 | 1           |
      | a keep-alive time of 400 digits           | answer 1 | answer 2 | 1           |

  Scenario: A request to an upstream that does not listen is not sent
    Given an upstream that does not listen
    When two consecutive requests are sent to it
    Then the results are not connected and not connected
