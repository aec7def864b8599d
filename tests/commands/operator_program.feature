Feature: Operators get a true answer from the program, an exit code and no traceback

  Background:
    Given an operator file "one.toml" of version 1
    And an operator file "two.toml" of version 2

  Scenario: A file is checked offline, with JSON asked for at either place
    When the operator types "check one.toml"
    Then the program ends with 0 and prints "valid: version 1, 1 services"
    When the operator types "--json check one.toml"
    Then the program ends with 0 and prints JSON where "version" is 1
    When the operator types "check one.toml --json"
    Then the program ends with 0 and prints JSON where "version" is 1

  Scenario: A patch is checked offline, compared, and applied with its base
    Given an operator patch "patch.toml" of version 1 to version 3 that routes "a.example" to "archive"
    When the operator types "check patch.toml"
    Then the program ends with 0 and prints "valid patch of version 1: version 3, 0 services"
    Given a stand-in replica "a" that answers "GET /v1/configuration" with the file "one.toml"
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "diff patch.toml"
    Then the program ends with 0 and prints "host_routes.lookup"
    And the program prints no refusal
    Given a stand-in replica "a" that decides as control does on top of the file "one.toml"
    When the operator types "apply patch.toml"
    Then the program ends with 0 and prints "accepted: version 3"
    When the operator types "apply patch.toml"
    Then the program ends with 0 and prints "accepted: version 3"

  Scenario: A file with a base is refused once another version is in force
    Given a stand-in replica "a" that decides as control does on top of the file "one.toml"
    When the operator types "apply two.toml --base 0"
    Then the program ends with 1 and prints "refused: version 1 is in force"
    When the operator types "apply two.toml --base 1"
    Then the program ends with 0 and prints "accepted: version 2"

  Scenario: A patch that leads to an unknown service is refused by control
    Given an operator patch "patch.toml" of version 1 to version 3 that routes "a.example" to "nowhere"
    And a stand-in replica "a" that decides as control does on top of the file "one.toml"
    When the operator types "apply patch.toml"
    Then the program ends with 1 and complains "nowhere is not a known service"

  Scenario Outline: A wrong command line or file ends with one sentence
    When the operator types "<command>"
    Then the program ends with <code> and complains "<complaint>"

    Examples:
      | command                              | code | complaint                                           |
      | check absent.toml                    | 2    | check: absent.toml: No such file or directory       |
      | check .                              | 2    | check: .: Is a directory                            |
      | apply absent.toml                    | 2    | apply: absent.toml: No such file or directory       |
      | --timeout 0 check one.toml           | 2    | --timeout (BURDOCKLEAD_TIMEOUT) must be from        |
      | --timeout nan check one.toml         | 2    | --timeout (BURDOCKLEAD_TIMEOUT) must be from        |
      | status --control-admin a=b           | 2    | --control-admin (BURDOCKLEAD_CONTROL_ADMIN) must be |
      | status --control-admin ,             | 2    | must name at least one replica                      |
      | polish                               | 2    | invalid choice: 'polish'                            |
      | completion tcsh                      | 2    | invalid choice: 'tcsh'                              |
      | replicas add                         | 2    | replicas: add needs other names                     |
      | replicas remove a b                  | 2    | replicas: remove needs other names                  |
      | replicas add c4                      | 2    | replicas: c4: must be NAME=IP:PORT                  |
      | replicas sack c4                     | 2    | invalid choice: 'sack'                              |
      | apply two.toml --base x              | 2    | argument --base: invalid int value                  |
      | check binary.toml                    | 1    | check: binary.toml: 'utf-8' codec                   |
      | check empty.toml                     | 1    | check: empty.toml: version: is missing              |
      | status --control-admin a=127.0.0.1:1 | 3    | status: control: no replica answers                 |
      | apply one.toml --control-admin a=127.0.0.1:1 | 3 | apply: control: reached no replica (a: no connection |
      | diff one.toml --control-admin a=127.0.0.1:1  | 3 | diff: control: no replica answers (a: no connection  |

  Scenario: Every wrong setting is named in one go
    When the operator types "--timeout x --control-admin y status"
    Then the program ends with 2 and complains "--timeout (BURDOCKLEAD_TIMEOUT) must be a number"
    And the program complains "--control-admin (BURDOCKLEAD_CONTROL_ADMIN) must be NAME=IP:PORT"

  Scenario: Completion is written for a shell
    When the operator types "completion bash"
    Then the program ends with 0 and prints "_shtab_burdocklead"
    When the operator types "completion zsh --json"
    Then the program ends with 0 and prints JSON where "shell" is "zsh"

  Scenario: An interrupt ends the program without a traceback
    Given a stand-in replica "a" that never answers
    When the operator interrupts "status" while it waits
    Then the program ends with 130 and says nothing

  Scenario: A list that no replica tells is not known
    Given a stand-in replica "a" that loses every answer
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "status"
    Then the program ends with 0 and prints "drained by an operator: not known"

  Scenario: A file is accepted only when control says so
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with acceptance
    When the operator types "apply one.toml"
    Then the program ends with 0 and prints "accepted: version 1"
    Given the acceptance of the stand-in replica "a" is sent as "text/html"
    When the operator types "apply one.toml"
    Then the program ends with 3 and complains "not known; send the same file again (a: status 200; content type is text/html"

  Scenario Outline: An answer without meaning leaves the outcome not known
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with <status> <type> <body>
    When the operator types "apply one.toml"
    Then the program ends with 3 and complains "apply: control: not known; send the same file again"
    And the program prints nothing

    Examples:
      | status | type             | body                                          |
      | 200    | text/html        | <html>hello</html>                            |
      | 200    | application/json | {"accepted":"yes","version":1,"digest":"x"}   |
      | 200    | application/json | {"accepted":true,"version":1}                 |
      | 200    | application/json | {"accepted":true,"version":1,"digest":"x"}    |
      | 200    | application/json | \xff                                          |
      | 500    | text/plain       | failure                                       |
      | 503    | application/json | {"error":"no quorum","step":"accept"}         |
      | 302    | text/plain       | elsewhere                                     |

  Scenario: The next replica is asked when one is cut off or loses its answer
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with 503 application/json {"error":"no quorum"}
    And a stand-in replica "b" that loses every answer
    And a stand-in replica "c" that answers "PUT /v1/configuration" with acceptance
    When the operator types "apply one.toml"
    Then the program ends with 0 and prints "accepted: version 1"
    And each stand-in replica got the same file

  Scenario: A lost answer is not known and never called accepted
    Given a stand-in replica "a" that loses every answer
    When the operator types "apply one.toml"
    Then the program ends with 3 and complains "not known; send the same file again (a: Server disconnected)"
    And the program prints nothing

  Scenario: Refusals and problems found by control end with 1
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with 409 application/json {"accepted":false,"version":4,"digest":"d","reason":"version 4 is in force"}
    When the operator types "apply one.toml"
    Then the program ends with 1 and prints "refused: version 4 is in force"
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with 400 application/json {"problems":["services.x: first","services.y: second"],"step":"check"}
    When the operator types "apply one.toml"
    Then the program ends with 1 and complains "services.y: second"

  Scenario: A refusal to look at a file is no decision after a lost answer
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with 401 application/json {"error":"the operator token is missing or wrong","step":"authorize"}
    When the operator types "apply one.toml"
    Then the program ends with 1 and complains "apply: a: the operator token is missing or wrong"
    Given a stand-in replica "0" that loses every answer
    When the operator types "apply one.toml"
    Then the program ends with 3 and complains "not known; send the same file again (0: Server disconnected; a: the operator token"

  Scenario: Waiting names who is missing at the time limit
    Given a stand-in replica "a" that answers "PUT /v1/configuration" with acceptance
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "d1 at 1, d2 at 0"
    And a stand-in replica "b" that loses every answer
    When the operator types "apply one.toml --wait --timeout 1"
    Then the program ends with 3 and prints "not in force yet: b, d2"

  Scenario: A file is compared with what a replica with a quorum knows
    Given a stand-in replica "a" that answers "GET /v1/configuration" with the file "two.toml"
    And the stand-in replica "a" shows version 2 with a quorum and the daemons "d1 at 1"
    And a stand-in replica "b" that answers "GET /v1/configuration" with the file "one.toml"
    And the stand-in replica "b" shows version 9 without a quorum and the daemons "d1 at 1"
    When the operator types "diff one.toml"
    Then the program ends with 0 and prints "changed  services.archive.queue_limit"
    And the program prints "2         1"
    And the program prints "apply would refuse this file: version 2 is in force"
    When the operator types "show"
    Then the program ends with 0 and prints "version = 2"

  Scenario: A replica set without a quorum is shown and not believed
    Given a stand-in replica "a" that answers "GET /v1/configuration" with the file "one.toml"
    And the stand-in replica "a" shows version 1 without a quorum and the daemons "d1 at 1"
    When the operator types "status"
    Then the program ends with 3 and complains "no replica has a quorum"
    When the operator types "show"
    Then the program ends with 3 and complains "no replica has a quorum; cut off: a"

  Scenario: The replica set is shown and changed only when control says so
    Given a stand-in replica "a" that answers "GET /v1/replicas" with 200 application/json {"epoch":3,"replicas":[["c1",["127.0.0.1",1]]],"following":[]}
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "replicas"
    Then the program ends with 0 and prints "c1       127.0.0.1:1  member"
    When the operator types "replicas remove c1"
    Then the program ends with 3 and complains "replicas: a: not known; see replicas list"
    Given a stand-in replica "a" that answers "POST /v1/replicas/remove" with 409 application/json {"error":"the last replica can't leave"}
    When the operator types "replicas remove c1"
    Then the program ends with 1 and complains "replicas: a: the last replica can't leave"
    Given a stand-in replica "a" that answers "POST /v1/replicas/remove" with 202 application/json {"epoch":3,"replicas":[["c1",["127.0.0.1",1]]],"following":[["c1",["127.0.0.1",1]]]}
    When the operator types "replicas remove c1"
    Then the program ends with 0 and prints "epoch 3"

  Scenario: Names from other processes can't command a terminal
    Given a stand-in replica "a" that loses every answer
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "dESCAPE[2J at 1"
    When the operator types "status"
    Then the program ends with 0 and prints no control character

  Scenario Outline: Styles are for terminals that want them
    Given a stand-in replica "a" that loses every answer
    And the stand-in replica "a" shows version 1 with a quorum and the daemons "d1 at 1"
    When a <output> with NO_COLOR of "<no_colour>" shows "status"
    Then the program prints <styles> styles

    Examples:
      | output   | no_colour | styles |
      | terminal | nothing   | some   |
      | terminal | 1         | no     |
      | pipe     | nothing   | no     |

  Scenario: Differences are found key by key
    Then the differences between versions of a file are
      """
      added services.archive.routes[look-up].key_required: null -> false
      removed services.archive.routes[old].method: "GET" -> null
      changed services.archive.queue_limit: 1 -> 2
      """
