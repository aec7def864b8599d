Feature: Large bodies at the heartbeats' port

  # Guards against a daemon that runs out of memory by heartbeats and readiness checks.
  Scenario: Large heartbeats stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the heartbeats port of VM 20 send 30 MiB less 1 bytes of bodies of 30 MiB
    And 12 clients of the readiness port of VM 20 send 30 MiB less 1 bytes of bodies of 30 MiB
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
