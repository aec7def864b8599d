Feature: An answer whose head is cut is never passed on as whole

  # Guards against a success with an empty or short body for a cut answer.
  Scenario Outline: The connection ends somewhere in the head
    Given an answer <answer>
    When its connection ends after each number of bytes of its head, by <end>
    Then no exchange has an answer

    Examples:
      | answer                              | end       |
      | with a length                       | a close   |
      | with a length                       | a reset   |
      | in chunks                           | a close   |
      | without a length                    | a close   |
      | without a length                    | a reset   |
      | behind an interim response          | a close   |
      | behind a whole answer to another ID | a close   |
      | of status 204                       | a close   |
      | with bare line feeds                | a close   |

  Scenario Outline: The connection ends somewhere in the body
    Given an answer <answer>
    When its connection ends after each number of bytes of its body, by <end>
    Then no exchange has an answer

    Examples:
      | answer           | end     |
      | with a length    | a close |
      | in chunks        | a close |
      | without a length | a reset |

  Scenario Outline: The connection ends after the last byte
    Given an answer <answer>
    When its connection ends after its last byte, by a close
    Then the exchange has the whole answer

    Examples:
      | answer                     |
      | with a length              |
      | in chunks                  |
      | without a length           |
      | behind an interim response |
