Feature: A daemon that is stopped answers each request that it has read

  # Guards against requests that are taken late in a stop and cut at its end.
  Scenario: A request that could outlast the stop is refused once callers have gone
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets", whose upstream takes 4000 ms
    And daemon 21 gets SIGTERM
    And a client of daemon 21 sends half of a request 2 s later and the rest 3.5 s later
    Then the client is told 503 with "Retry-After:" and "Connection: close"
    And no upstream has run its request

  # Guards against a stop that closes connections instead of telling outcomes.
  Scenario: Calls that are in progress at the end of a stop are told their outcomes
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets", whose upstream takes 9000 ms
    And daemon 21 gets SIGTERM
    And 6 clients of daemon 21 send a request 1 s later
    Then all of them are answered before the daemon is killed
    And 4 of them are told 504 and 2 of them 503

  Scenario: A request that ends before the stop does is served
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And daemon 21 gets SIGTERM
    And a client of daemon 21 sends half of a request 2 s later and the rest 2.8 s later
    Then the client is told 200 with "X-Response-Signature: " and "Connection: close"
