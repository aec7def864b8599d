Feature: Bodies over the limit

  # Guards against a daemon that collects bodies over the limit before it refuses them.
  Scenario: Bodies over the limit stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the callers port of VM 20 send 32 MiB less 1 bytes of bodies of 64 MiB
    And 12 clients of the callers port of VM 20 send chunked bodies of 32 MiB without an end
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
