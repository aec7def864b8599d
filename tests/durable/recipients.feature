Feature: Votes and pages of a replica count for that replica only

  # Guards against a replica that takes over the address of one whose disk is
  # lost, and votes for it as well (review/6).
  Scenario: A replica at the address of another one does not vote for it
    Given the replicas "a, b, c" in one set, with "one" in a register
    When "b" is silent
    And "two" is written through "a"
    And "a" loses its disk and "d" starts at its address
    And "b" answers again
    And the replacement of "a" by "d" is started through "c"
    And "d" learns of the change
    And "c" is silent
    Then "d" does not catch up
    And a read at "b" finds no quorum
    And a read at "d" finds no quorum
    And "three" can not be written through "b"
    When "c" answers again
    Then "d" catches up
    And a read at "b" returns "two"
    When "b" is silent
    Then a read at "d" returns "two"

  Scenario: Messages for a lost disk are refused by the replica that has its name
    Given the replicas "a, b, c" in one set, with "one" in a register
    When "a" loses its disk and "a" starts at its address
    And "a" learns of the change
    And "b" is silent
    Then a read at "c" finds no quorum
    And a read at "a" finds no quorum

  # Guards against a replica that reports a quorum, or is chosen for a change,
  # on the replies of one that lost its disk.
  Scenario Outline: Only replies of a member count as heard
    Given the replicas "a, b, c" in one set, with "one" in a register
    When <event>
    And "c" exchanges state with the others
    Then "c" has heard <heard>

    Examples:
      | event                                             | heard    |
      | "b" is silent                                     | "a"      |
      | "a" loses its disk and "a" starts at its address  | "b"      |
      | "a" loses its disk and "d" starts at its address  | "b, d"   |

  # Guards against a second first set: its quorum would not know what a quorum of
  # the first one has accepted.
  Scenario: No first set is formed with a replica that may be in one
    Given the replicas "b, c, m" without a set, known to "c"
    When "b" forms a set that "c" misses
    And "c" is silent
    And "one" is written through "b"
    And "b" loses its disk and "x" starts at its address
    And "c" hears of "x"
    And "m" is silent
    And "c" forms the first set if it may
    Then "c" is in no set
    When "m" answers again
    And "c" forms the first set if it may
    Then "c" is in no set

  Scenario: The first set is formed once every replica confirms that it has none
    Given the replicas "b, c, m" without a set, known to "b"
    When "b" forms the first set if it may
    Then "b" is in a set of "b, c, m"
