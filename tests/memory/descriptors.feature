Feature: Connections that send half a head

  # Guards against a process that runs out of descriptors by connections that never send a request.
  Scenario: Many connections stay within the descriptors of a daemon and a replica
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 300 clients connect to the callers port of VM 20 and send half a head
    And 300 clients connect to the heartbeats port of VM 20 and send half a head
    And 300 clients connect to the operators port of VM 1 and send half a head
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
