Feature: Slow readers

  # Guards against a daemon that buffers long responses that nobody reads.
  Scenario: Many clients that read long responses slowly stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    And the upstream announces answers of 15 MiB and leaves out 0 bytes
    When 12 clients of VM 20 ask for long answers and read 64 KiB of them
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
