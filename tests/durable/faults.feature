Feature: Control replicas under pauses, races and restarts

  Scenario: A replica that was paused for longer than the leases expires no daemon
    Given control replicas and a daemon with leases of 3 s
    When control replica "control-0" is paused for 7.5 s
    Then "control-0" still knows the daemon and expired no daemon

  Scenario: Concurrent applies accept one content per version, and restarts are fast
    Given control replicas with version 1 accepted
    When two operators apply 250 versions each with different content
    Then each version was accepted with one content
    And the register file of "control-1" is bounded and opens within 1 s
    When control replica "control-1" restarts
    Then "control-1" serves the last version
