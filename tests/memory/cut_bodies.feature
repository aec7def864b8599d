Feature: Bodies that stop before their end

  # Guards against a daemon that holds unfinished bodies until it runs out of memory.
  Scenario: Many bodies that lack a byte stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the callers port of VM 20 send 16 MiB less 1 bytes of bodies of 16 MiB
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
