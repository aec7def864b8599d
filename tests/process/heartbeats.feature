Feature: A daemon announces each change to the replicas that it should use

  Scenario: A change during a heartbeat is announced by the next one at once
    Given a daemon with a heartbeat interval of 5 s whose replica answers in 50 ms
    When its upstream starts to drain during a heartbeat
    Then the replica is told of the drain within 200 ms

  Scenario: New seeds are used at once, and the replicas in use keep their clients
    Given a control client for the seeds "one, two"
    When the replica set "a, b" is in use with "b" first
    And the seeds become "three"
    Then the control client tries "b, a, three" in this order
    And the client of "b" is the same as before

  Scenario: New seeds before any replica set replace the old ones
    Given a control client for the seeds "one, two"
    When the seeds become "three, four"
    Then the control client tries "three, four" in this order

  Scenario: A replica named twice has one client
    Given a control client for the seeds "a, two"
    When the replica set "a, b" is in use with "a" first
    And the address of "a" in the settings is another one
    Then the control client tries "a, b, two" in this order

  Scenario: A replica that has just started takes no member away
    Given a daemon that knows the members "d1, d2, d3"
    When a replica that has just started sends a snapshot with "d1"
    Then the daemon knows the members "d1, d2, d3"
    When the same replica reports "d2"
    And the same replica is settled
    Then the daemon knows the members "d1, d2"

  Scenario: A replica that knows all daemons takes away those that left
    Given a daemon that knows the members "d1, d2, d3"
    When a settled replica sends a snapshot with "d1"
    Then the daemon knows the members "d1"

  Scenario Outline: A replica knows all daemons a lease after its start, or from another replica
    Given a replica with leases of 0.3 s that has just started
    Then it says in its heartbeat replies that it is not settled
    When <event>
    Then it says in its heartbeat replies that it is settled

    Examples:
      | event                           |
      | a lease has passed              |
      | it hears from a settled replica |

  Scenario Outline: A request is answered by the first replica that can
    Given a control client for the seeds "one, two, three"
    When its replicas answer <answers>
    Then a request with 300 ms is answered by "<replica>" within <limit> ms
    And the next request goes to "<replica>" first

    Examples:
      | answers                                        | replica | limit |
      | after 10 ms, 10 ms and 10 ms                   | one     | 80    |
      | after 150 ms, 150 ms and 150 ms                | one     | 220   |
      | after 1000 ms, 10 ms and 10 ms                 | two     | 180   |
      | with an error, an error and after 150 ms       | three   | 220   |

  Scenario: A request that no replica answers fails with the error of a replica
    Given a control client for the seeds "one, two, three"
    When its replicas answer with an error, an error and an error
    Then a request with 300 ms fails with "no quorum" within 50 ms
