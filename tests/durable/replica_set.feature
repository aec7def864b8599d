Feature: Changes of the replica set lose no accepted value

  Scenario: Unsafe changes are refused
    Given the replica set a, b, c in epoch 4
    Then the set change "remove d" with a, b, c reachable is refused: "d is not in the set"
    And the set change "remove a" with a, b reachable is refused: "no quorum after it: 1 of 2"
    And the set change "add c" with a, b, c reachable is refused: "c is in the set"
    And the set change "replace c by d" with a, d reachable starts epoch 5
    And the set change "replace c by d" with d reachable is refused: "no quorum after it: 1 of 3"
    When the set change "add d" has started
    Then the set change "remove a" with a, b, c, d reachable is refused: "is in progress"
    And the replicas a, b form a quorum: no
    And the replicas a, b, c form a quorum: yes
    And the replicas b, c, d form a quorum: yes
    And the replicas c, d form a quorum: no
    When the set change has ended
    Then the replicas c, d form a quorum: no
    And the replicas b, c, d form a quorum: yes

  Scenario: Accepted values survive lost replicas before and after a replacement
    Given control replicas with version 1 accepted
    When control replica "control-1" is lost
    And version 2 is accepted by "control-0"
    And 30 claims are acquired through "control-0"
    And control replica "control-2" is lost
    And control replica "control-1" restarts
    And an operator replaces "control-2" by "control-3"
    And control replica "control-0" is lost
    Then "control-3" refuses version 2 with different content
    And the 30 claims are still held according to "control-3"
    And version 3 is accepted by "control-3"
    When control replica "control-1" loses its disk and restarts
    Then "control-1" is not ready and "control-3" accepts no version
