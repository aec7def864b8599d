Feature: The programs on the users' platform

  Real processes on loopback; the platform is a stand-in of this repository.

  Scenario: A calm path from an operator's order to a client's answer
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then every daemon is ready
    And a request to "/view/7" at daemon 21 is answered by "sheets"
    And the upstream saw the entry's service "orders" and its own instance
    And a request to "/other/7" at daemon 20 is answered 404

  Scenario: Who comes before the first order is told when to return
    Given a platform with the services "sheets", "orders"
    Then a request to "/view/7" at daemon 20 is answered 503 with a time to return

  Scenario: Orders are decided once, whoever is asked
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then the same order sent to another replica is answered 200
    And another change on the same base is answered 412
    And a change of the same version is answered 400
    And a change that names an unknown service is answered 400
    And a change that is cut short is answered 400
    And reading the configuration returns what was sent

  Scenario: A change moves the calls within two seconds
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And a patch to version 8 routes "/view/" to "orders"
    Then after 2 s a request to "/view/7" at daemon 20 is answered by "orders"

  Scenario: A draining upstream gets no work two seconds after its heartbeat
    Given a platform with the services "sheets", "sheets"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 tells that it is draining while requests go on for 3 s
    Then all requests were answered 200
    And upstream 20 ran nothing later than 2 s after its heartbeat

  Scenario: Heartbeats of others change nothing
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then a heartbeat with a field missing is answered 400
    And a heartbeat of another service is answered 400
    And a heartbeat that is no JSON is answered 400
    And a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: A restarted daemon finds the upstream beside it by its health page
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 stops its heartbeats and daemon 20 is killed and restarted
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: A replica that lost its disk comes back as a new one
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And replica 1 loses its disk and restarts
    Then replica 1 is in the set under a new name within 4 s
    When replica 2 is killed
    Then version 3 is read at replica 1

  Scenario: Metrics are served at the port that the deploy file names
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then a request to "/view/7" at daemon 20 is answered by "sheets"
    And the metrics of VM 20 hold "burdocklead_calls_total{outcome="answered",service="sheets"}"
    And the metrics of VM 20 hold "burdocklead_call_seconds_bucket"
    And the metrics of VM 1 hold "burdocklead_version_in_force 3"

  Scenario: A process whose metrics port is taken serves all the same
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And the metrics port of VM 20 is taken while its daemon restarts
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: The folder hides no standard module
    Then a program in the folder imports the standard module "platform"

  Scenario Outline: Settings that can't be used end the program with a sentence
    Given a settings file that <problem>
    Then the daemon ends and tells "<reason>"

    Examples:
      | problem              | reason                          |
      | is missing           | settings file:                  |
      | is no TOML           | settings file:                  |
      | lacks the VM's name  | missing required field          |
