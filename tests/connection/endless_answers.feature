Feature: Upstreams that send without end

  A faulty upstream may send bytes until its client closes the connection. One
  exchange takes little memory and ends long before the deadline of the call.

  Scenario Outline: An exchange ends when an upstream sends without end
    Given an upstream that sends <bytes> without end
    When a request is sent to it for at most 10 s
    Then the exchange is broken within 5 s after part of an answer
    And it took at most 4 MB of memory
    And the upstream saw the connection close

    Examples:
      | bytes                   |
      | header lines            |
      | one header value        |
      | trailers                |
      | interim responses       |
      | answers to others       |
      | a chunk extension       |
      | a body that ends at EOF |
      | tiny chunks             |

  Scenario Outline: An exchange ends when an upstream sends a byte at a time
    Given an upstream that trickles <bytes>
    When a request is sent to it for at most 10 s
    Then the exchange is broken within 5 s after part of an answer

    Examples:
      | bytes        |
      | a head       |
      | a body       |
      | leading CRLF |

  Scenario: A flood delays the calls of other connections little
    Given an upstream that sends header lines without end
    When it floods 4 requests at a time while 200 others are answered
    Then 95 in 100 of the others are answered within 50 ms

  Scenario: A body that is too large is told apart from a broken connection
    Given an upstream that sends a body that ends at EOF without end
    When a request with the ID of the answer is sent to it
    Then the answer is too large
