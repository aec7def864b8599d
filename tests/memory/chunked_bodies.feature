Feature: Chunked bodies that stop before their end

  # Guards against a daemon that holds bodies of unknown length until it runs out of memory.
  Scenario: Many chunked bodies without an end stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the callers port of VM 20 send chunked bodies of 15 MiB without an end
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
