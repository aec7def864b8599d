Feature: Chunked answers of an upstream that never end

  # Guards against a daemon that collects answers of unknown length until it runs out of memory.
  Scenario: Many chunked answers without an end stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    And the upstream sends 15 MiB of answers that never end
    When 12 clients of VM 20 ask for long answers and read 64 KiB of them
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
