Feature: Slow readers over a link

  # Guards against daemons that run out of memory by long responses at either end of a link.
  Scenario: Many clients that read long responses over a link slowly stay within the memory
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    And the upstream announces answers of 15 MiB and leaves out 0 bytes
    When 12 clients of VM 21 ask for long answers and read 64 KiB of them
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 21 is answered
