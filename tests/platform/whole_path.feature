Feature: The programs on a stand-in platform

  The programs run as real processes on loopback; the platform is simulated.

  Scenario: A configuration is applied and routes client requests
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then every daemon is ready
    And a request to "/view/7" at daemon 21 is answered by "sheets"
    And the upstream received the caller service "orders" and its own instance
    And a request to "/other/7" at daemon 20 is answered 404

  Scenario: A request before the first configuration is answered with Retry-After
    Given a platform with the services "sheets", "orders"
    Then a request to "/view/7" at daemon 20 is answered 503 with Retry-After

  Scenario: A change is decided once, whichever replica receives it
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then the same change sent to another replica is answered 200
    And another change of the same base version is answered 412
    And a change of the same version is answered 400
    And a change that names an unknown service is answered 400
    And a truncated change is answered 400
    And reading the configuration returns what was sent

  Scenario: A patch reroutes calls within two seconds
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And a patch to version 8 routes "/view/" to "orders"
    Then after 2 s a request to "/view/7" at daemon 20 is answered by "orders"

  Scenario: A draining upstream gets no work two seconds after its heartbeat
    Given a platform with the services "sheets", "sheets"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 reports that it drains while requests are sent for 3 s
    Then all requests were answered 200
    And upstream 20 ran no call later than 2 s after its heartbeat

  Scenario: Invalid heartbeats are rejected and change nothing
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then a heartbeat without a required field is answered 400
    And a heartbeat of another service is answered 400
    And a heartbeat that is not JSON is answered 400
    And a request to "/view/7" at daemon 21 is answered by "sheets"

  # Guards against an odd heartbeat that shuts the upstream out or ends the daemon.
  Scenario: Heartbeats that are nested too deeply or out of range change nothing
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then each of these heartbeats at daemon 20 is answered 400
      | field   | content                |
      | seq     | a number of 400 digits |
      | seq     | -1                     |
      | seq     | 9007199254740993       |
      | born    | a number of 400 digits |
      | born    | -1                     |
      | slots   | 0                      |
      | slots   | 1000000000000          |
      | version | 100000 nested arrays   |
      | address | "127.0.0.1:99999"      |
      | state   | "asleep"               |
    And a heartbeat of an instance with a line break in its name is answered 400
    And a change that is nested 100000 levels deep is answered 400
    And a request to "/view/7" at daemon 21 is answered by "sheets"
    And no process has logged an unexpected error

  Scenario: Load reports out of range don't cost the answers that carry them
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then requests to "/view/7" at daemon 21 are answered 200 with each of these load reports
      | report               |
      | 0,0,4,400 digits     |
      | 0,0,400 digits,100   |
      | -1,0,4,100           |
      | 0,0,4,-100           |
      | ²,0,4,100            |
      | 0,0                  |
    And no process has logged an unexpected error

  # Guards against settings that end a process or go unnoticed.
  Scenario Outline: Settings that can't be used are logged and change nothing
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And the settings of daemon 21 get <problem> and it gets SIGHUP
    Then daemon 21 logs that its settings were not reloaded
    And a request to "/view/7" at daemon 21 is answered by "sheets"
    And no process has logged an unexpected error

    Examples:
      | problem                   |
      | a seed with port 99999    |
      | 100000 nested arrays      |

  Scenario: A restarted daemon discovers its upstream by a health check
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 sends no more heartbeats and daemon 20 is killed and restarted
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: An upstream that leaves a restarted daemon gets no more work
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 sends no more heartbeats and daemon 20 is killed and restarted
    Then a request to "/view/7" at daemon 21 is answered by "sheets"
    When upstream 20 deregisters
    Then after 2 s a request to "/view/7" at daemon 21 is answered 503
    And a late heartbeat of upstream 20 changes nothing
    When upstream 20 starts again under its instance name
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  # Guards against work for an upstream that deregistered before its daemon restarted.
  Scenario: A late heartbeat after a restart does not bring a departed upstream back
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And upstream 20 deregisters and daemon 20 is stopped and started again
    Then a late heartbeat of upstream 20 changes nothing
    When upstream 20 starts again under its instance name
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: A replica that lost its disk rejoins as a new replica
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And replica 1 loses its disk and restarts
    Then replica 1 is a member of the set under a new ID after 4 s
    When replica 2 is killed
    Then replica 1 returns version 3

  Scenario: A replica that is not in the set redirects operators to one that is
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And a replica 3 starts that the set does not need
    Then replica 3 redirects the same change to a replica of the set
    And the change that follows the redirect is answered 200
    When the replicas of the set are killed
    Then replica 3 answers an operator call 503

  Scenario: Metrics are served at the port in the environment
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then a request to "/view/7" at daemon 20 is answered by "sheets"
    And the metrics of VM 20 contain "burdocklead_calls_total{outcome="answered",service="sheets"}"
    And the metrics of VM 20 contain "burdocklead_call_seconds_bucket"
    And the metrics of VM 1 contain "burdocklead_version_in_force 3"

  Scenario: A daemon whose metrics port is in use still serves requests
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And the metrics port of VM 20 is in use while its daemon restarts
    Then a request to "/view/7" at daemon 21 is answered by "sheets"

  Scenario: The folder "platform" does not shadow the standard module
    Then a program that runs in the folder imports the standard module "platform"

  Scenario Outline: A program imports nothing that only the other role needs
    Then the program "<program>" imports no module of "<package>"

    Examples:
      | program      | package                             |
      | control_role | burdocklead.request                 |
      | daemon_role  | burdocklead.process.control_replica |
      | daemon_role  | burdocklead.durable.store           |

  Scenario Outline: A program with invalid settings exits with an error message
    Given a settings file that <problem>
    Then the daemon exits with the error "<reason>"

    Examples:
      | problem              | reason                          |
      | is missing           | settings file:                  |
      | is not TOML          | settings file:                  |
      | lacks the VM's name  | missing required field          |
