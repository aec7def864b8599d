Feature: A lease expires only if no replica has heard the daemon

  Scenario: An answer of the replica that hears a daemon renews its lease
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When the replica "b" reports at 12 s that it heard the daemon 0.5 s before
    Then no daemon expires at 14 s
    When the replica "b" answers at 14 s
    Then no daemon expires at 16.5 s
    And the daemon expires at 17 s

  Scenario: An answer of a replica that does not hear a daemon renews no lease
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When the replica "b" answers at 12 s
    Then the daemon expires at 13 s

  Scenario: The lease is renewed by the replica that heard the daemon last
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When the replica "b" reports at 12 s that it heard the daemon 0.5 s before
    And the replica "c" reports at 13 s that it heard the daemon 0.1 s before
    And the replica "b" answers at 15 s
    Then the daemon expires at 15.9 s

  Scenario: A daemon stays gone after it expired at the replica that heard it
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When the replica "b" reports at 12 s that it heard the daemon 0.5 s before
    And another replica reports at 15 s that the daemon is gone, heard 3.1 s before
    And the replica "b" answers at 15.1 s
    Then the daemon is gone

  Scenario: A newer report restores a daemon, an older one does not
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    Then the daemon expires at 13 s
    When the replica "b" reports at 13.1 s that it heard the daemon 3.05 s before
    Then the daemon is gone
    When the replica "b" reports at 13.2 s that it heard the daemon 0.1 s before
    Then the daemon is present

  Scenario Outline: Only changes that affect routing are announced
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When the daemon announces itself at 11 s with <what> changed
    Then the view sends <count> change

    Examples:
      | what             | count |
      | version_in_force | 0     |
      | draining         | 1     |
      | crashes          | 1     |

  Scenario: A report that a daemon is gone counts only if its sender heard it later
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When another replica reports at 12 s that the daemon is gone, heard 5 s before
    Then the daemon is present
    When another replica reports at 14 s that the daemon is gone, heard 3.5 s before
    Then the daemon is gone

  Scenario: A heartbeat that waited while its replica was paused does not move the daemon back
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When replica "b" reports at 18 s that it got a heartbeat sent at 17.5 s
    And a heartbeat sent at 10.5 s arrives at 18.1 s
    And the replica "b" answers at 20 s
    Then no daemon expires at 22 s

  Scenario: A daemon that its home replica lost is gone at the others too
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When replica "b" reports at 11 s that it got a heartbeat sent at 11 s
    And the replica "b" answers at 13.9 s
    And replica "b" reports at 14.1 s that the daemon is gone, last heartbeat sent at 11 s
    And the replica "b" answers at 14.1 s
    Then the daemon is gone

  Scenario: A replica that did not hear the latest heartbeat is contradicted
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When a heartbeat sent at 13 s arrives at 13 s
    And replica "b" reports at 13.2 s that the daemon is gone, last heartbeat sent at 10 s
    Then the daemon is present
    And the view sends 1 change

  Scenario: A daemon moves to another home although the earlier one renewed its lease
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When replica "b" reports at 11 s that it got a heartbeat sent at 11 s
    And the replica "b" answers at 12 s
    And replica "c" reports at 12.1 s that it got a heartbeat sent at 11.8 s
    And the replica "c" answers at 14.5 s
    Then no daemon expires at 17 s

  Scenario: An old report does not bring back a daemon that is gone
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When replica "b" reports at 11 s that it got a heartbeat sent at 11 s
    And replica "b" reports at 13.5 s that the daemon is gone, last heartbeat sent at 11 s
    And replica "c" reports at 13.6 s that it got a heartbeat sent at 11 s
    Then the daemon is gone
    When replica "c" reports at 14 s that it got a heartbeat sent at 13.9 s
    Then the daemon is present

  Scenario: A daemon that restarted after its clock was set back is known again
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When a heartbeat of a process with a lower incarnation, sent at 9.8 s, arrives at 11 s
    Then the incarnation of the daemon is the first one
    When a heartbeat of a process with a lower incarnation, sent at 11.1 s, arrives at 11.1 s
    Then the incarnation of the daemon is the lower one

  Scenario: A process that follows another is known at once, however far its clock is behind
    Given replica "a" with a lease of 3 s got a heartbeat at 10 s
    When a heartbeat of a process with a higher incarnation, sent at 8 s, arrives at 11 s
    Then the incarnation of the daemon is the higher one

  Scenario: The quorum age follows the replica set
    Given the replica set a, b, c in epoch 4
    Then the quorum age for a 0, b 1, c 9 is 1 s
    When the set change "replace c by d" has started
    Then the quorum age for a 0, b 1, d 4 is 1 s
    And the quorum age for a 0, c 1, d 4 is 4 s
    And the quorum age for a 0, c 1 is unknown
