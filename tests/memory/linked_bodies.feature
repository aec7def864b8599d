Feature: Large bodies over a link

  # Guards against daemons that run out of memory at either end of a link.
  Scenario: Many large bodies over a link stay within the memory of both daemons
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the callers port of VM 21 send 15 MiB less 0 bytes of bodies of 15 MiB
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 21 is answered
