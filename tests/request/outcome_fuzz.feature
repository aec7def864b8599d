Feature: The request path upholds its invariants under any sequence of faults

  Scenario: Examples with a fixed seed violate no invariant
    When the fuzzer of the request path runs 150 examples with seed 1
    Then the fuzzer found no invariant violation

  Scenario Outline: The request path fuzzer detects a path without <part>
    Given a request path without <part>
    When the fuzzer of the request path runs 600 examples with seed <seed>
    Then the fuzzer found an invariant violation

    Examples:
      | part                     | seed |
      | fencing by queries       | 1    |
      | fencing before takeover  | 1    |
      | reports of lost attempts | 1    |

  Scenario: The attempt table never reruns or denies an evicted attempt
    When the fuzzer of the attempt table runs 300 examples with seed 1
    Then the fuzzer found no invariant violation

  Scenario Outline: The attempt table fuzzer detects a table without <part>
    Given a request path without <part>
    When the fuzzer of the attempt table runs 300 examples with seed 1
    Then the fuzzer found an invariant violation

    Examples:
      | part                 |
      | low-water marks      |
      | fencing by queries   |
      | retired incarnations |

  Scenario Outline: Scripts with <event> are safe and detect a path without <part>
    When the fuzzer of the request path runs 200 scripts with <event>
    Then the fuzzer found no invariant violation
    Given a request path without <part>
    When the fuzzer of the request path runs 200 scripts with <event>
    Then the fuzzer found an invariant violation

    Examples:
      | event             | part                  |
      | upstream crashes  | the limit of retries  |
      | restarted daemons | the incarnation check |
