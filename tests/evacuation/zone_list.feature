Feature: Evacuated zones are decided once and survive races

  # Guards against a resent order that makes daemons apply a list again.
  Scenario: Repeated orders leave the list of evacuated zones and its revision unchanged
    When the evacuation orders "+b +a +a -b -b" are applied
    Then the evacuated zones are "a" with revision 3
    And the names "a, b" are valid although no process of these zones is known

  # Guards against an order that another replica's order overwrites.
  Scenario: Orders that race at three replicas are all kept
    When three replicas change the evacuations of their zones 15 times each at the same time
    Then the evacuated zones are "near, mid, far" with revision 45

  # Guards against a replica that stops after it acknowledged an evacuation.
  Scenario: A replica serves a list that only its own register holds
    Given a control replica whose register holds the evacuation of "north"
    When the control replica checks its register
    Then the control replica serves the evacuation of "north"

  # Guards against a restarted daemon that serves before it knows the list.
  Scenario: A replica that has not read the list sends no configuration
    Given a control replica whose register holds the evacuation of "north"
    And the control replica knows a configuration
    Then a daemon gets no configuration from the control replica
    When the control replica checks its register
    Then a daemon gets the configuration and the evacuation of "north"

  # Guards against work for an evacuated zone that waited in a queue.
  Scenario: Calls that wait are refused after the notice, and later ones at once
    Given a daemon in "north" with one running and two waiting calls
    When the daemon is told of revision 1 with "south"
    And the daemon is told of revision 2 with "north, south"
    Then after 0.4 s 2 calls wait and new calls are accepted
    And after 0.6 s 0 calls wait and new calls are refused as "zone-evacuated"
    When the daemon is told of revision 1 with "south"
    Then after 0 s 0 calls wait and new calls are refused as "zone-evacuated"
    # Guards against a herd on upstreams that became cold meanwhile.
    When the daemon is told of revision 3 with ""
    Then after 0 s 0 calls wait and new calls are refused as "cold-upstream"
    And after 2 s 0 calls wait and new calls are accepted

  # Guards against calls in the time that others need to learn of an evacuation.
  Scenario: A daemon that starts in an evacuated zone refuses calls at once
    Given a daemon in "north" with one running and two waiting calls
    When the daemon is told of revision 1 with "north"
    Then after 0 s 0 calls wait and new calls are refused as "zone-evacuated"
