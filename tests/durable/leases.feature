Feature: A lease runs out only if no replica heard the daemon

  Scenario: What other replicas heard extends a lease
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When another replica says at 12 s that it heard the daemon 0.5 s before
    Then nobody expires at 14 s
    And the daemon expires at 14.5 s

  Scenario: A later renewal brings a daemon back, an older one does not
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    Then the daemon expires at 13 s
    When another replica says at 13.1 s that it heard the daemon 3.05 s before
    Then the daemon is gone
    When another replica says at 13.2 s that it heard the daemon 0.1 s before
    Then the daemon is present

  Scenario: That a daemon is gone is taken over only from who heard it later
    Given a membership view with a lease of 3 s that heard a daemon at 10 s
    When another replica says at 12 s that the daemon is gone, heard 5 s before
    Then the daemon is present
    When another replica says at 14 s that the daemon is gone, heard 3.5 s before
    Then the daemon is gone

  Scenario: The age of a quorum follows the replica set
    Given the replica set a, b, c in epoch 4
    Then the quorum age of a 0, b 1, c 9 is 1 s
    When the set change "replace c by d" has started
    Then the quorum age of a 0, b 1, d 4 is 1 s
    And the quorum age of a 0, c 1, d 4 is 4 s
    And the quorum age of a 0, c 1 is never known
