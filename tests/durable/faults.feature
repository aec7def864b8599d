Feature: Control replicas through stops, races and restarts

  Scenario: A replica stopped for longer than its leases expires nobody
    Given control replicas and a daemon with leases of 3 s
    When control replica "control-0" is stopped for 7.5 s
    Then "control-0" still knows the daemon and expired nobody

  Scenario: Racing operators are decided once and a restart is quick
    Given control replicas with version 1 accepted
    When two operators apply 250 versions each with different content
    Then each version was accepted with one content
    And the file of "control-1" is bounded and opens within 1 s
    When control replica "control-1" restarts
    Then "control-1" shows the last version
