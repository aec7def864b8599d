Feature: Rate limits of teams under faults

  # Guards against a window with more calls than the bound, and against a team
  # within its limit that is refused after all faults have ended.
  Scenario: Faults of processes and links do not break a limit
    When the fuzzer of the team limits runs 60 examples with seed 5
    Then the fuzzer found no invariant violation

  # Shows that the fuzzer finds a missing part.
  Scenario Outline: Without a part of the protocol, the fuzzer finds a violation
    Given team limits without <part>
    When the fuzzer of the team limits runs 5 scripts with <faults>
    Then the fuzzer found an invariant violation

    Examples:
      | part                                 | faults                        |
      | reserved shares                      | replies lost to half          |
      | confirmed replies                    | replies lost to half          |
      | the shares of the previous term      | a holder killed during a cut  |
      | the limit on saved calls in fallback | a burst in fallback           |

  Scenario Outline: With all parts, these faults do not break a limit
    When the fuzzer of the team limits runs 5 scripts with <faults>
    Then the fuzzer found no invariant violation

    Examples:
      | faults                       |
      | replies lost to half         |
      | a holder killed during a cut |
      | a burst in fallback          |

  # Guards against fixed shares that refuse what the sum would allow.
  Scenario: Daemons with a share far below one call use the sum of their shares
    Given 74 daemons in fallback with a limit of 5 per s and a burst of 10
    When each of them gets a call every 0.5 s for 60 s
    Then 290 to 330 calls are admitted
    And no 5 s have more than 58 of these calls

  # Guards against calls beyond a new limit that were saved up under the old one.
  Scenario: A lowered limit clamps the saved calls at once
    Given a lease holder whose team has saved up a burst of 50
    When the burst is lowered to 5
    Then a request for 60 calls is granted 5
    And the next call may be granted after 0.1 s

  # Guards against a new lease holder that grants a burst again.
  Scenario: The buckets of a new term start empty
    Given a lease holder that just started its term
    Then a request for 60 calls is granted 0
