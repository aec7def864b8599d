Feature: The HTTP edge towards callers

  Scenario: Pipelined requests run at the same time and are answered in order
    Given an HTTP server whose handler takes the ms in the path
    When a client pipelines GET requests for "/80", "/10" and "/40"
    Then the answers come in the order "/80", "/10", "/40"
    And the requests took less than 120 ms together

  Scenario: A client that leaves cancels what it asked for
    Given an HTTP server whose handler takes the ms in the path
    When a client sends "/5000" and closes its connection
    Then the handler of "/5000" is cancelled

  Scenario Outline: A request that breaks a limit is refused and the connection closed
    Given an HTTP server with 1000 header bytes, 100 body bytes and 300 ms for headers
    When an odd client sends <bytes>
    Then the client is answered <status> and the connection is closed
    And no handler ran

    Examples:
      | bytes                 | status |
      | a header of 5000 bytes | 431   |
      | a header without end   | 431   |
      | half a header          | 408   |
      | a body of 500 bytes    | 413   |
      | no HTTP                | 400   |
      | two lengths            | 400   |

  Scenario: A draining server closes a connection after its last answer
    Given an HTTP server whose handler takes the ms in the path
    When a client sends "/100" and the server starts to drain meanwhile
    Then the client gets the whole answer with "Connection: close"

  Scenario: A server that drains takes no connection and closes idle ones
    Given an HTTP server whose handler takes the ms in the path
    When a server with an idle connection drains
    Then the idle connection is closed and a new one is refused

  Scenario: A request behind an answer that closes the connection is not run
    Given an HTTP server whose handler takes the ms in the path
    When a client pipelines "/50" with "Connection: close" and "/1"
    Then only "/50" was handled
