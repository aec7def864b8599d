Feature: Teams on the stand-in platform

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against calls that are accepted without a valid key, refusals of valid
  # ones, keys that reach an upstream, and keys in logs, metrics and answers.
  Scenario: Calls are accepted by key, before and after a version that removes it
    Given a platform with the services "sheets", "orders"
    Then a call with the key "sEcret-1" to "/keyed/7" at daemon 20 is answered 503
    And a call with the key "sEcret-9" to "/view/7" at daemon 21 is answered 503
    When version 3 has a team "blue" with the keys "sEcret-1, sEcret-2"
    Then a call with the key "sEcret-1" to "/keyed/7" at daemon 20 is answered 200
    And the upstream received the team "blue" and no key
    And a call with the key "sEcret-2" to "/view/7" at daemon 21 is answered 200
    And the upstream received the team "blue" and no key
    And a call without a key to "/view/7" at daemon 21 is answered 200
    And the upstream received no team and no key
    And a call with the key "sEcret-9" to "/keyed/7" at daemon 20 is answered 401
    And a call with the key "sEcret-9" to "/view/7" at daemon 20 is answered 401
    And a call without a key to "/keyed/7" at daemon 21 is answered 401
    When a call with the key "sEcret-1" is answered 200 on a connection that stays open
    And a patch to version 4 leaves the team "blue" with the keys "sEcret-2"
    Then after 2 s two pipelined calls on the open connection are answered 401
    And a call with the key "sEcret-2" to "/keyed/7" at daemon 20 is answered 200
    When every process is killed and started again
    Then a call with the key "sEcret-2" to "/keyed/7" at daemon 20 is answered 200 in the end
    And a call with the key "sEcret-1" to "/keyed/7" at daemon 20 is answered 401
    # Only replicas tell a daemon which upstreams the others serve.
    And a call without a key to "/view/7" at daemon 21 is answered 200 in the end
    When a patch to version 5 with a key "sEcret 3" is answered 400
    Then the log of daemon 20 has a call that was refused with "cause=unknown-api-key"
    And the metrics of VM 20 contain "burdocklead_refusals_total{cause="unknown-api-key"}"
    And the metrics of VM 20 contain "burdocklead_team_calls_total{outcome="answered",team="blue"}"
    And no log and no metric contains "sEcret"
    And explain lists the cause "unknown-api-key" and prints no "sEcret"
    When the replicas of the set are killed
    Then after 4 s a request to "/view/7" at daemon 21 is answered 200
    And a call with the key "sEcret-2" to "/keyed/7" at daemon 20 is answered 200
    And a call with the key "sEcret-1" to "/keyed/7" at daemon 20 is answered 503

  # Guards against a call that is sent after its key was removed, and a call that
  # runs but is answered like one that didn't.
  Scenario: A key is removed while a call waits for a slot
    Given a platform with the services "sheets", "orders"
    And upstream 20 takes 2500 ms for each call and has 1 slot
    When version 3 has a team "blue" with the keys "sEcret-1, sEcret-2"
    And two calls with the key "sEcret-1" are sent to "/slow/7" at daemon 21
    And a patch to version 4 leaves the team "blue" with the keys "sEcret-2"
    Then one of the two calls is answered 200 and one 401
    And the upstream ran one call to "/slow/7"
