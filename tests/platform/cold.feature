Feature: Cold upstreams on the stand-in platform

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against more calls than a cold upstream can handle, also where a
  # daemon doesn't know what the one before it sent.
  Scenario: A cold upstream gets its rate, also when its daemon is killed
    Given a platform with the services "sheets", "orders"
    And the health checks of upstream 20 report "8000" ms
    When version 3 routes "/view/" to "sheets", which can handle 5 calls a second for 10 s while it is cold
    And 8 clients of daemon 21 send requests for 5 s, and daemon 20 is killed and restarted after 2 s
    Then upstream 20 got at most 5 calls in any 0.8 s
    And upstream 20 got at least 8 calls
    And the requests were answered 200 or 503 with Retry-After, and 504 only when the daemon was killed
    When the health checks of upstream 20 report "0" ms
    Then within 3 s 30 requests in a row at daemon 21 are answered 200
    And no process has logged an unexpected error

  # Guards against an upstream that one odd figure shuts out.
  Scenario Outline: A figure that is not possible keeps no upstream cold
    Given a platform with the services "sheets", "orders"
    And the health checks of upstream 20 report "<header>" ms
    And the heartbeats of upstream 20 report <heartbeat> ms
    When version 3 routes "/view/" to "sheets", which can handle 1 calls a second for 2 s while it is cold
    Then within 4 s 30 requests in a row at daemon 21 are answered 200
    And daemon 20 logs that it ignores a cold time
    And no process has logged an unexpected error

    Examples:
      | header  | heartbeat    |
      | 9000000 | 100000000000 |
      | soon    | -1           |
