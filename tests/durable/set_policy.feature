Feature: The replica set is kept whole without an operator

  Scenario Outline: One replica proposes what the set needs
    Given "a" looks at the set a, b, c of wanted size <size>
    And replicas were heard <heard>
    And candidates are <candidates>
    Then the plan is <plan>

    Examples:
      | size | heard                | candidates       | plan                |
      | 3    | a 0, b 0.1, c 0.1    | none             | nothing             |
      | 3    | a 0, b 0.1, c 9      | none             | nothing             |
      | 3    | a 0, b 0.1, c 9      | d 0.1            | replace c by d      |
      | 3    | a 0, b 0.1, c 2      | d 0.1            | nothing             |
      | 3    | a 0, b 0.1, c 9      | d 5              | nothing             |
      | 5    | a 0, b 0.1, c 0.1    | d 0.1            | add d               |
      | 3    | a 0, b 0.1, c 0.1    | d 0.1            | nothing             |
      | 3    | a 0, b 0.1, c 0.1    | c-wiped at c 0.1 | replace c by c-wiped |
      | 3    | a 0, b 9, c 3        | d 0.1            | replace b by d      |

  Scenario: Only the first replica that is heard proposes
    Given "b" looks at the set a, b, c of wanted size 3
    And replicas were heard a 0.2, b 0, c 9
    And candidates are d 0.1
    Then the plan is nothing
    Given replicas were heard a 9, b 0, c 0.1
    Then the plan is replace a by d

  Scenario Outline: A change whose joining replica is lost is taken back
    Given "a" looks at the set a, b, c that replaces c by d
    And replicas were heard a 0, b 0.1, d <age>
    And candidates are <candidates>
    Then the plan is <plan>

    Examples:
      | age | candidates       | plan      |
      | 0.5 | none             | nothing   |
      | 9   | none             | take back |
      | 0.5 | d-wiped at d 0.1 | take back |
