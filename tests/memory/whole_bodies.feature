Feature: Large whole bodies

  # Guards against a daemon that runs out of memory, as it holds several copies of each body.
  Scenario: Many large bodies at once stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the callers port of VM 20 send 16 MiB less 0 bytes of bodies of 16 MiB
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
