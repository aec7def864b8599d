Feature: Bodies of every size, in one piece and in many

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against a configuration that is answered 500 and never accepted
  # because its body is large: such bodies have another type (review/12).
  Scenario: Operator calls are decided at every size
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then each of these changes is decided and read back everywhere
      | call    | bytes           | pieces | framing | status |
      | replace | 262143          | 1      | length  | 200    |
      | replace | 262144          | 1      | length  | 200    |
      | replace | 262145          | 1      | length  | 200    |
      | replace | 262143          | 9      | chunks  | 200    |
      | replace | 262144          | 9      | chunks  | 200    |
      | replace | 262145          | 9      | chunks  | 200    |
      | replace | 400000          | 40     | length  | 200    |
      | patch   | 262143          | 7      | length  | 200    |
      | patch   | 262144          | 1      | chunks  | 200    |
      | patch   | 262145          | 1      | length  | 200    |
      | patch   | 300000          | 30     | chunks  | 200    |
      | replace | 1048576         | 1      | length  | 200    |
      | replace | 1048577         | 20     | chunks  | 200    |
      | patch   | 1048577         | 3      | length  | 200    |
    And every process of the platform runs
    And no process has logged an unexpected error

  # Guards against a limit that is answered 5xx, or that accepts what the
  # replicas and daemons can't send to each other.
  Scenario Outline: The largest configuration is accepted, a larger one refused
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then each of these changes is decided and read back everywhere
      | call   | bytes          | pieces | framing | status |
      | <call> | 8388609 stored | 1      | length  | 400    |
      | <call> | 8388609 stored | 60     | chunks  | 400    |
      | <call> | 16777216       | 1      | length  | 400    |
      | <call> | 16777217       | 1      | length  | 413    |
      | <call> | 16777217       | 100    | chunks  | 413    |
      | <call> | 8388608 stored | 60     | chunks  | 200    |
      | <call> | 8388608 stored | 1      | length  | 200    |
    And every process of the platform runs
    And no process has logged an unexpected error

    Examples:
      | call    |
      | replace |
      | patch   |

  # Guards against bodies that are answered 500 although they are invalid.
  Scenario: A body that is no configuration is refused at every size
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then bodies of 200000 and 300000 bytes are refused with 400 by each change
      | content                         |
      | a number                        |
      | a truncated configuration       |
      | a field given twice             |
      | a field nested 100000 deep      |
      | a field that isn't UTF-8        |
      | an escape that is no character  |
      | a number out of range           |
      | a number of 5000 digits         |
    And no process has logged an unexpected error

  # Guards against calls without a body that fail if one is sent.
  Scenario: Bodies of evacuations and heartbeats don't depend on their size
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then an evacuation with a body of these sizes is answered as follows
      | bytes    | status |
      | 262144   | 200    |
      | 262145   | 200    |
      | 16777216 | 200    |
      | 16777217 | 413    |
    And a heartbeat at daemon 20 with a body of these sizes is answered as follows
      | bytes   | status |
      | 262144  | 200    |
      | 262145  | 200    |
      | 1048576 | 200    |
      | 1048577 | 413    |
    And no process has logged an unexpected error

  # Guards against a size, or a way to send it, that no test has tried.
  Scenario: Changes of drawn sizes and pieces are decided and read back
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then 25 changes with sizes and pieces drawn with seed 1 are read back everywhere
    And every process of the platform runs
    And no process has logged an unexpected error

  # Guards against requests or answers that are changed or lost by their size.
  Scenario: Requests and answers pass at every size
    Given a platform with 200 MB per process whose upstreams echo the bodies of requests
    Then at both daemons requests of these sizes are answered as follows
      | bytes    | pieces | framing | status |
      | 1        | 1      | length  | 200    |
      | 262143   | 1      | length  | 200    |
      | 262144   | 1      | length  | 200    |
      | 262145   | 1      | length  | 200    |
      | 262143   | 9      | chunks  | 200    |
      | 262144   | 9      | chunks  | 200    |
      | 262145   | 9      | chunks  | 200    |
      | 1048576  | 30     | length  | 200    |
      | 16777216 | 1      | length  | 200    |
      | 67108864 | 1      | length  | 200    |
      | 16777217 | 50     | chunks  | 200    |
      | 60000000 | 100    | chunks  | 200    |
      | 67108864 | 100    | chunks  | 200    |
      | 67108865 | 1      | length  | 413    |
      | 67108865 | 100    | chunks  | 413    |
    And no process has logged an unexpected error
