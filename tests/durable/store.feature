Feature: The register file keeps what was answered

  Scenario: A torn tail is cut and any other damage stops the replica
    Given a durable store with 5 commits
    When the last 3 bytes of its file are lost
    Then the durable store opens with 4 commits and a tail was cut
    When byte 40 of its file is damaged
    Then the durable store refuses to open and names offset 0
    When byte 90 of its file is damaged
    Then the durable store refuses to open and names offset 0

  Scenario: A record in the middle that lost its length is not a torn tail
    Given a durable store with 5 commits
    When byte 5 of record 2 is damaged
    Then the durable store refuses to open and names record 2

  Scenario: A full disk refuses writes and recovers
    Given a durable store with 5 commits
    When its disk is full
    Then a commit to it fails with "No space left on device"
    And a commit to it fails with "No space left on device"
    When its disk has space again
    Then a commit to it works
    And the durable store opens after a crash with 6 commits

  Scenario: A file is not trusted after a failed sync
    Given a durable store with 5 commits
    When its next "sync" fails
    Then a commit to it fails with "Input/output error"
    And a commit to it works
    And the durable store opens after a crash with 6 commits

  Scenario: Recovery after 2000 applied files is quick and the file stays small
    Given a durable store with 2000 changes of a register of 2000 bytes
    Then its file holds at most 1500000 bytes
    And the durable store opens within 1 s

  Scenario: A folder belongs to one replica and counts its starts
    Given a durable folder of replica "control-0"
    When it is opened again
    Then it has the same identity and the start 2
    And replica "control-1" can't open it
    When its identity file is lost
    Then replica "control-0" can't open it

  Scenario: Commits, faults and crashes agree with a dictionary
    Then the store fuzzer finds nothing in 150 examples

  Scenario: Commits share syncs, and a barrier ends without changes
    Given a durable store with 0 commits
    Then 40 group commits at once take at most 2 syncs
    And a group commit without changes ends
    When its next "sync" fails
    Then 3 group commits at once fail and leave no trace
