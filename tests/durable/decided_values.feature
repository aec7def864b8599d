Feature: What a quorum decided is served, whatever becomes of its proposer

  Three replicas exchange real messages over loopback, in one process.

  # Guards against daemons that keep an older version for as long as the replica
  # that acknowledged a newer one is away (review/11).
  Scenario Outline: A decided value that was never announced is served
    Given three replicas that serve version 1 to daemons
    When replica "c1" has <changes> decided and is <end> before it announces them
    Then within 2 s replicas "c2, c3" hand daemons <outcome>

    Examples:
      | changes                | end     | outcome                   |
      | version 3              | killed  | version 3                 |
      | version 3              | frozen  | version 3                 |
      | a patch to version 3   | killed  | version 3                 |
      | a patch to version 3   | frozen  | version 3                 |
      | version 3, version 5   | killed  | version 5                 |
      | an evacuation          | killed  | the evacuation            |
      | an evacuation          | frozen  | the evacuation            |
      | a drain                | killed  | the drain                 |
      | a drain                | frozen  | the drain                 |
      | version 3, a drain     | frozen  | version 3, the drain      |
      | a change of the set    | killed  | epoch 2                   |
      | a change of the set    | frozen  | epoch 2                   |
      | version 3              | cut off | version 3                 |
      | a patch to version 3   | cut off | version 3                 |
      | an evacuation, a drain | cut off | the evacuation, the drain |
      | a change of the set    | cut off | epoch 2                   |

  # Guards against a value that is lost although a majority has it: one of them
  # was out of reach when it was decided.
  Scenario: A replica that missed a decided value gets it from one that has it
    Given three replicas that serve version 1 to daemons
    When replica "c3" is out of reach
    And replica "c1" has version 3 decided and is killed before it announces it
    And replica "c3" is in reach again
    Then within 3 s replicas "c2, c3" hand daemons version 3

  # Guards against a value that is served although no quorum decided it.
  Scenario: An accepted value is served only once a quorum has decided it
    Given three replicas that serve version 1 to daemons
    When replicas "c1, c3" are out of reach
    And replica "c2" alone accepts version 3
    Then for 1.5 s replica "c2" hands daemons version 1
    When replica "c3" is in reach again
    Then within 3 s replicas "c2, c3" hand daemons version 3

  # Guards against a register that is read again and again: a quorum has decided
  # without this replica.
  Scenario: An accepted value that lost is replaced by what was decided
    Given three replicas that serve version 1 to daemons
    When replica "c2" alone accepts version 9
    And replica "c2" is out of reach
    And replica "c1" has version 3 decided
    Then within 3 s replicas "c1, c3" hand daemons version 3
    When replica "c2" is in reach again
    Then within 3 s replicas "c1, c2, c3" hand daemons version 3
    And for 3 s replica "c2" hands daemons version 3
    And replica "c2" has read its register again at most 3 times
