Feature: Shares of teams

  Teams share the slots of a full upstream, whatever each of them sends.

  Scenario: A team at six times its usual load leaves the others in time
    Given 9 teams that send 0.8 of the capacity of a service in equal parts
    When one of them sends 6 times its usual calls from 2 to 6 s, with and without shares
    Then at least 0.99 of the calls of the others are in time, at most 0.95 without shares
    And with shares, at least 0.95 as many calls are in time as without

  Scenario: The share of idle teams goes to the others
    Given an upstream that runs a call and has teams
    When 3 calls of the team "big" wait and no other team sends
    Then the next slots are given to the teams "big, big, big"

  Scenario: A team that was idle goes before the backlog of another
    Given an upstream that runs a call and has teams
    When 5 calls of the team "big" and then 1 of the team "small" wait
    Then at most 3 calls of the team "big" start before the one of "small"

  Scenario: A full queue sheds the team with the largest backlog
    Given an upstream that runs a call and has teams
    When 4 calls of the team "big" fill its queue and 1 of the team "small" arrives
    Then a call of the team "big" is shed and the one of "small" waits

  Scenario: Teams that are idle are forgotten
    Given an upstream that runs a call and has teams
    When 1000 teams send a call each, which waits for the one before it
    Then the state of at most 256 teams is kept
    And no team is known once a call finds the upstream idle

  Scenario: Without teams no state is kept and the order does not change
    Given an upstream that runs a call and has no teams
    When 4 calls of the team "" wait
    Then the state of at most 0 teams is kept
    And all waiting calls are in the same round
