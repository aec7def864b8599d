Feature: Evacuated zones on the stand-in platform

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against calls to an evacuated zone and against orders that are lost.
  Scenario: An evacuated zone gets no calls until it is restored
    Given a platform with "sheets" in the zones "north", "south"
    When version 3 routes "/view/" to "sheets"
    And the zone "north" is evacuated at replica 0
    And requests are sent to both daemons for 3 s
    Then all requests were answered 200
    And upstream 20 ran no call later than 2 s after the order
    When the zone "north" is evacuated at replica 1
    And the zone "south" is evacuated at replica 2
    Then within 2 s a request at daemon 20 is answered 503 with Retry-After
    When all control replicas and daemon 20 are killed and started again
    Then within 20 s a request at daemon 20 is answered 503 with Retry-After
    And a request to "/view/7" at daemon 20 is answered 503
    When the zone "south" is restored at replica 1
    Then within 3 s a request at daemon 20 is answered 200
    And upstream 20 ran no call later than 2 s after the order
    When the zone "north" is restored at replica 2
    Then within 3 s upstream 20 runs a call
    And no process has logged an unexpected error

  # Guards against names that evacuate nothing and against refused resends.
  Scenario: Orders for unknown zones are refused, resent and raced ones are not
    Given a platform with "sheets" in the zones "north", "south"
    When version 3 routes "/view/" to "sheets"
    Then the evacuation of a zone without a name is answered 400
    And the evacuation of the zone "nowhere" is answered 400
    And the end of the evacuation of the zone "nowhere" is answered 400
    And 24 orders for the zone "north" that race at three replicas are answered 200
    When the zone "north" is restored at replica 0
    Then within 3 s upstream 20 runs a call
