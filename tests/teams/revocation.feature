Feature: A key that a new version removes stops working for calls that wait

  # Guards against an attempt that is sent with a key that was removed.
  Scenario Outline: A key is removed while a call waits between attempts
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And dispatched attempt 1 is <first> after 20 ms
    When a call with a key is dispatched and the key is removed after 10 ms
    Then the dispatched calls are <outcome>
    And the cause of the dispatched call is "<cause>"
    And 1 dispatched attempts went to different upstreams

    Examples:
      | first      | outcome | cause           |
      | queue-full | not run | unknown-api-key |
      | lost       | unknown | silent          |

  # Guards against a call that is refused although its key is still valid.
  Scenario Outline: A version that keeps the key changes nothing
    Given dispatched calls that are idempotent with a hedge after 0 ms
    And dispatched attempt 1 is queue-full after 20 ms
    When a call with a key is dispatched and the key is <change> after 10 ms
    Then the dispatched calls are answered
    And 2 dispatched attempts went to different upstreams

    Examples:
      | change                     |
      | kept                       |
      | needed no more             |
      | removed and restored       |

  Scenario: No hedge is sent with a key that was removed
    Given dispatched calls that are idempotent with a hedge after 20 ms
    And dispatched attempt 1 answers after 40 ms
    When a call with a key is dispatched and the key is removed after 10 ms
    Then the dispatched calls are answered
    And 1 dispatched attempts went to different upstreams

  Scenario: A call with an idempotency key doesn't run after its API key is removed
    Given dispatched calls that are not idempotent with a hedge after 0 ms
    When a keyed call is sent whose API key is removed while its claim is decided
    Then the dispatched calls are not run
    And the cause of the dispatched call is "unknown-api-key"
    And 0 dispatched attempts went to different upstreams
    And the claim of the keyed call is released

  # Guards against an answer that one team reads from the claim of another.
  Scenario: Two teams with the same idempotency key have two claims
    Then the claim keys of one idempotency key differ between the teams "blue", "red" and none

  # Guards against work of a removed key that waited for a slot, and against
  # refusals by a daemon that doesn't have the version with a new key yet.
  Scenario Outline: An attempt waits for a slot while the version in force changes
    Given a daemon with one busy slot and version 5 with the key "k-1"
    When an attempt waits whose key "<key>" was checked by version <checked>
    And version <new> with the key "k-2" comes into force and the slot becomes free
    Then the waiting attempt is <result>

    Examples:
      | key | checked | new | result  |
      | k-1 | 5       | 6   | refused |
      | k-1 | 4       | 6   | refused |
      | k-2 | 5       | 6   | sent    |
      | k-3 | 7       | 6   | sent    |
      | k-1 | 6       | 6   | sent    |
