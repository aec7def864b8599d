Feature: HTTP server for callers

  Scenario: Pipelined requests run concurrently and are answered in order
    Given an HTTP server whose handler takes as many ms as the path says
    When a client pipelines GET requests for "/80", "/10" and "/40"
    Then the responses arrive in the order "/80", "/10", "/40"
    And all requests together took less than 120 ms

  Scenario: A disconnect of the client cancels its requests
    Given an HTTP server whose handler takes as many ms as the path says
    When a client sends "/5000" and closes its connection
    Then the handler of "/5000" is cancelled

  Scenario Outline: An invalid, too large or too slow request is rejected and its connection closed
    Given an HTTP server with limits of 1000 header bytes, 100 body bytes and 300 ms for headers
    When an invalid request is sent: <request>
    Then the client is answered <status> and the connection is closed
    And no handler ran

    Examples:
      | request                   | status |
      | a header of 5000 bytes    | 431    |
      | an unterminated header    | 431    |
      | an incomplete header      | 408    |
      | a body of 500 bytes       | 413    |
      | data that is not HTTP     | 400    |
      | two Content-Length values | 400    |

  Scenario: A draining server closes a connection after its last response
    Given an HTTP server whose handler takes as many ms as the path says
    When a client sends "/100" and the server starts to drain during the request
    Then the client gets the complete response with "Connection: close"

  Scenario: A draining server refuses new connections and closes idle ones
    Given an HTTP server whose handler takes as many ms as the path says
    When a server with an idle connection drains
    Then the idle connection is closed and a new one is refused

  Scenario: A request pipelined after one that closes the connection is not run
    Given an HTTP server whose handler takes as many ms as the path says
    When a client pipelines "/50" with "Connection: close" and "/1"
    Then only "/50" was handled
