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
      | 9000 bytes of a chunk extension | 400 |
      | 9000 bytes of trailers    | 431    |
      | 9000 bytes of empty lines | 400    |

  Scenario Outline: A client that waits before it sends its body is told to only if it may
    Given an HTTP server with limits of 1000 header bytes, 100 body bytes and 300 ms for headers
    When a client asks whether to send a body of <size> bytes
    Then it is answered <status>

    Examples:
      | size | status |
      | 50   | 100    |
      | 500  | 413    |

  Scenario: A body that arrives a byte at a time is rejected in time
    Given an HTTP server with limits of 1000 header bytes, 100 body bytes and 300 ms for headers
    And bodies have 500 ms and 1000 bytes/s
    When a client sends a body of 50 bytes with a byte every 100 ms
    Then the client is answered 408 and the connection is closed
    And no handler ran

  Scenario: Trailers are not headers of the request
    Given an HTTP server whose handler takes as many ms as the path says
    When a client sends "/1" in chunks with the trailer "Authorization: yes"
    Then the handler of "/1" got no header "Authorization"

  Scenario: Connections that trickle a head are closed while others are served
    Given an HTTP server with limits of 1000 header bytes, 100 body bytes and 1000 ms for headers
    When 400 connections trickle a head with a byte every 50 ms
    Then all of them are closed within 2 s
    And a request meanwhile was answered

  Scenario: The longest idle connection makes room for a new one
    Given an HTTP server that keeps at most 3 connections
    When a client opens 5 connections one after the other
    Then only the last 3 of them are open

  Scenario: A client that reads no responses is not buffered for without end
    Given an HTTP server whose responses have 1 MB and that waits 300 ms for idle clients
    When a client sends 500 requests and reads nothing for 2 s
    Then fewer than 100 of them were handled
    And the connection was aborted

  Scenario: A draining server closes a connection after its last response
    Given an HTTP server whose handler takes as many ms as the path says
    When a client sends "/100" and the server starts to drain during the request
    Then the client gets the complete response with "Connection: close"

  # Guards against a stop that cuts requests of a client that pipelines.
  Scenario: A draining server takes no request behind a pending one
    Given an HTTP server whose handler takes as many ms as the path says
    When a client pipelines "/100" every 20 ms and the server drains after 150 ms
    Then each request that was handled is answered, the last one with "Connection: close"
    And no request was handled after the drain began

  # Guards against a stop that waits for a request behind a pending one.
  Scenario: A draining server does not wait for the rest of a request behind a pending one
    Given an HTTP server whose handler takes as many ms as the path says
    When a client pipelines "/100" and half of "/1" and the server drains
    Then only "/100" was handled

  Scenario: A draining server refuses new connections and closes idle ones
    Given an HTTP server whose handler takes as many ms as the path says
    When a server with an idle connection drains
    Then the idle connection is closed and a new one is refused

  Scenario: Connections that are pending when a server drains are served
    Given an HTTP server whose handler takes as many ms as the path says
    When 5 clients connect and the server drains before it accepts them
    Then all 5 clients get a complete response

  Scenario Outline: Requests that were received but not read when a server drains are answered
    Given an HTTP server whose handler takes as many ms as the path says
    When <count> clients send a request on idle connections and the server drains before it reads
    Then all <count> clients get a complete response

    Examples:
      | count |
      | 1     |
      | 20    |

  Scenario: A request pipelined after one that closes the connection is not run
    Given an HTTP server whose handler takes as many ms as the path says
    When a client pipelines "/50" with "Connection: close" and "/1"
    Then only "/50" was handled
