Feature: The replica set is repaired without an operator

  Scenario Outline: One replica proposes the needed change
    Given "a" evaluates the set a, b, c with target size <size>
    And the member ages in s are <members>
    And the candidate ages in s are <candidates>
    Then the plan is <plan>

    Examples:
      | size | members              | candidates       | plan                |
      | 3    | a 0, b 0.1, c 0.1    | none             | nothing             |
      | 3    | a 0, b 0.1, c 9      | none             | nothing             |
      | 3    | a 0, b 0.1, c 9      | d 0.1            | replace c by d      |
      | 3    | a 0, b 0.1, c 2      | d 0.1            | nothing             |
      | 3    | a 0, b 0.1, c 9      | d 5              | nothing             |
      | 5    | a 0, b 0.1, c 0.1    | d 0.1            | add d               |
      | 3    | a 0, b 0.1, c 0.1    | d 0.1            | nothing             |
      | 3    | a 0, b 0.1, c 0.1    | c-wiped at c 0.1 | replace c by c-wiped |
      | 3    | a 0, b 9, c 3        | d 0.1            | replace b by d      |

  Scenario: Only the first replica by name that was heard recently proposes
    Given "b" evaluates the set a, b, c with target size 3
    And the member ages in s are a 0.2, b 0, c 9
    And the candidate ages in s are d 0.1
    Then the plan is nothing
    Given the member ages in s are a 9, b 0, c 0.1
    Then the plan is replace a by d

  Scenario Outline: A change whose joining replica is lost is cancelled
    Given "a" evaluates the set a, b, c that replaces c by d
    And the member ages in s are a 0, b 0.1, d <age>
    And the candidate ages in s are <candidates>
    Then the plan is <plan>

    Examples:
      | age | candidates       | plan    |
      | 0.5 | none             | nothing |
      | 9   | none             | cancel  |
      | 0.5 | d-wiped at d 0.1 | cancel  |

  Scenario: A set that changes while a replica catches up is no fault of the process
    Given a joining replica whose set changes while it catches up
    Then its set manager goes on and catches up with the new set

  Scenario: Replicas that are silent for long are forgotten
    Given a set manager that heard 50 candidates long ago and 1 now
    Then its set manager knows 1 candidate
