Feature: The register file keeps acknowledged changes

  Scenario: A torn tail is truncated, any other damage is an error
    Given a durable store with 5 commits
    When the last 3 bytes of its file are lost
    Then the durable store opens with 4 commits and a truncated tail
    When byte 40 of its file is damaged
    Then the durable store fails to open and reports offset 0
    When byte 90 of its file is damaged
    Then the durable store fails to open and reports offset 0

  Scenario: A damaged length in the middle of the file is not a torn tail
    Given a durable store with 5 commits
    When byte 5 of record 2 is damaged
    Then the durable store fails to open and reports record 2

  Scenario: Writes fail on a full disk and work again once it has space
    Given a durable store with 5 commits
    When its disk is full
    Then a commit to it fails with "No space left on device"
    And a commit to it fails with "No space left on device"
    When its disk has space again
    Then a commit to it works
    And the durable store opens after a crash with 6 commits

  Scenario: A commit after a failed sync is durable
    Given a durable store with 5 commits
    When its next "sync" fails
    Then a commit to it fails with "Input/output error"
    And a commit to it works
    And the durable store opens after a crash with 6 commits

  Scenario: After 2000 applied files the register file is small and opens fast
    Given a durable store with 2000 changes of a register of 2000 bytes
    Then its file holds at most 1500000 bytes
    And the durable store opens within 1 s

  Scenario: A data folder belongs to one replica and counts its starts
    Given a durable folder of replica "control-0"
    When it is opened again
    Then it has the same identity and start count 2
    And replica "control-1" can't open it
    When its identity file is lost
    Then replica "control-0" can't open it

  Scenario: Commits with faults and crashes match a reference dictionary
    Then the store fuzzer finds no invariant violation in 150 examples

  Scenario: Concurrent commits share syncs, and a commit without changes completes
    Given a durable store with 0 commits
    Then 40 concurrent group commits take at most 2 syncs
    And a group commit without changes completes
    When its next "sync" fails
    Then 3 concurrent group commits fail and change no register
