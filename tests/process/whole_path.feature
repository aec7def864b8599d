Feature: A call goes from a client to an upstream and back

  Scenario: Calls of every kind are answered through any daemon
    Given a deployment with 2 job-sheets, 2 work-orders
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/17" through "work-orders-1"
    Then the call has the outcome "answered" and the status 200
    And the answer carries the mark "own"
    When a call with key "k1" and body "cornice" is sent as POST "/work-orders/orders" through "job-sheets-0"
    Then the call has the outcome "answered" and the status 200
    When a call with key "k1" and body "cornice" is sent as POST "/work-orders/orders" through "work-orders-1"
    Then the call has the outcome "answered" and the status 200
    And both answers are the same
    And the key "k1" ran 1 time(s)
    When a call with key "k1" and body "frieze" is sent as POST "/work-orders/orders" through "work-orders-0"
    Then the call has the outcome "not-run" and the status 422
    When the operator runs "status"
    Then the operator sees exit code 0 and "work-orders-1"

  Scenario: Invalid calls are refused and nothing runs
    Given a deployment with 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/quarry/sheets" through "job-sheets-0"
    Then the call has the outcome "not-run" and the status 404
    When a client sends POST "/work-orders/orders" through "job-sheets-0"
    Then the call has the outcome "not-run" and the status 400
    When a call with the deadline "soon" is sent as GET "/job-sheets/sheets/1"
    Then the call has the outcome "not-run" and the status 400
    And no upstream ran any call

  Scenario: Applying an accepted file again returns its version
    Given a deployment with 1 job-sheets
    When the operator runs "apply --base 7 examples/cedarline.toml"
    Then the operator sees exit code 1 and "refused: version 0 is in force"
    When the operator runs "apply examples/cedarline.toml"
    Then the operator sees exit code 0 and "accepted: version 1"
    When the operator runs "apply examples/cedarline.toml"
    Then the operator sees exit code 0 and "accepted: version 1"
    When the operator runs "apply --wait examples/cedarline-patch.toml"
    Then the operator sees exit code 0 and "in force everywhere"
    When the operator runs "show"
    Then the operator sees exit code 0 and "lookups.example"
    When the operator runs "apply examples/cedarline.toml"
    Then the operator sees exit code 0 and "accepted: version 1"
