Feature: The operator CLI reports results with an exit code and without a traceback

  Background:
    Given an operator file "one.toml" of version 1
    And an operator file "two.toml" of version 2

  Scenario: A file is checked offline, with --json before or after the subcommand
    When the operator types "check one.toml"
    Then the program exits with 0 and prints "valid: version 1, 1 services"
    When the operator types "--json check one.toml"
    Then the program exits with 0 and prints JSON where "version" is 1
    When the operator types "check one.toml --json"
    Then the program exits with 0 and prints JSON where "version" is 1

  Scenario: A patch is checked offline, compared, and applied with its base
    Given an operator patch "patch.toml" of version 1 to version 3 that routes "a.example" to "archive"
    When the operator types "check patch.toml"
    Then the program exits with 0 and prints "valid patch of version 1: version 3, 0 services"
    Given a stub replica "a" that answers "GET /v1/configuration" with the file "one.toml"
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "diff patch.toml"
    Then the program exits with 0 and prints "host_routes.lookup"
    And the program prints no refusal
    Given a stub replica "a" that decides like control, starting from the file "one.toml"
    When the operator types "apply patch.toml"
    Then the program exits with 0 and prints "accepted: version 3"
    When the operator types "apply patch.toml"
    Then the program exits with 0 and prints "accepted: version 3"

  Scenario: A file with a base is refused once another version is in force
    Given a stub replica "a" that decides like control, starting from the file "one.toml"
    When the operator types "apply two.toml --base 0"
    Then the program exits with 1 and prints "refused: version 1 is in force"
    When the operator types "apply two.toml --base 1"
    Then the program exits with 0 and prints "accepted: version 2"

  Scenario: A patch that routes to an unknown service is refused by control
    Given an operator patch "patch.toml" of version 1 to version 3 that routes "a.example" to "nowhere"
    And a stub replica "a" that decides like control, starting from the file "one.toml"
    When the operator types "apply patch.toml"
    Then the program exits with 1 and writes "nowhere is not a known service" to stderr

  Scenario Outline: An invalid command line or file is reported in one line
    When the operator types "<command>"
    Then the program exits with <code> and writes "<error>" to stderr

    Examples:
      | command                              | code | error                                               |
      | check absent.toml                    | 2    | check: absent.toml: No such file or directory       |
      | check .                              | 2    | check: .: Is a directory                            |
      | apply absent.toml                    | 2    | apply: absent.toml: No such file or directory       |
      | --timeout 0 check one.toml           | 2    | --timeout (BURDOCKLEAD_TIMEOUT) must be from        |
      | --timeout nan check one.toml         | 2    | --timeout (BURDOCKLEAD_TIMEOUT) must be from        |
      | status --control-admin a=b           | 2    | --control-admin (BURDOCKLEAD_CONTROL_ADMIN) must be |
      | status --control-admin ,             | 2    | must name at least one replica                      |
      | polish                               | 2    | invalid choice: 'polish'                            |
      | completion tcsh                      | 2    | invalid choice: 'tcsh'                              |
      | replicas add                         | 2    | replicas: invalid names for add                     |
      | replicas remove a b                  | 2    | replicas: invalid names for remove                  |
      | replicas add c4                      | 2    | replicas: c4: must be NAME=IP:PORT                  |
      | replicas sack c4                     | 2    | invalid choice: 'sack'                              |
      | apply two.toml --base x              | 2    | argument --base: invalid int value                  |
      | check binary.toml                    | 1    | check: binary.toml: 'utf-8' codec                   |
      | check empty.toml                     | 1    | check: empty.toml: version: is missing              |
      | status --control-admin a=127.0.0.1:1 | 3    | status: control: no replica answers                 |
      | apply one.toml --control-admin a=127.0.0.1:1 | 3 | apply: control: reached no replica (a: no connection |
      | diff one.toml --control-admin a=127.0.0.1:1  | 3 | diff: control: no replica answers (a: no connection  |

  Scenario: All invalid settings are reported at once
    When the operator types "--timeout x --control-admin y status"
    Then the program exits with 2 and writes "--timeout (BURDOCKLEAD_TIMEOUT) must be a number" to stderr
    And the program writes "--control-admin (BURDOCKLEAD_CONTROL_ADMIN) must be NAME=IP:PORT" to stderr

  Scenario: Completion scripts are written for each shell
    When the operator types "completion bash"
    Then the program exits with 0 and prints "_shtab_burdocklead"
    When the operator types "completion zsh --json"
    Then the program exits with 0 and prints JSON where "shell" is "zsh"

  Scenario: An interrupt ends the program without a traceback
    Given a stub replica "a" that never responds
    When the operator interrupts "status" while it waits
    Then the program exits with 130 and no output

  Scenario: A list that no replica reports is shown as not known
    Given a stub replica "a" that closes every connection
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "status"
    Then the program exits with 0 and prints "drained by an operator: not known"

  Scenario: A file is reported as accepted only if control confirms it
    Given a stub replica "a" that answers "PUT /v1/configuration" with acceptance
    When the operator types "apply one.toml"
    Then the program exits with 0 and prints "accepted: version 1"
    Given the stub replica "a" sends its acceptance as "text/html"
    When the operator types "apply one.toml"
    Then the program exits with 3 and writes "not known; send the same file again (a: status 200; content type is text/html" to stderr

  Scenario Outline: An invalid response leaves the outcome unknown
    Given a stub replica "a" that answers "PUT /v1/configuration" with <status> <type> <body>
    When the operator types "apply one.toml"
    Then the program exits with 3 and writes "apply: control: not known; send the same file again" to stderr
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

  Scenario: The next replica is tried if one has no quorum or closes the connection
    Given a stub replica "a" that answers "PUT /v1/configuration" with 503 application/json {"error":"no quorum"}
    And a stub replica "b" that closes every connection
    And a stub replica "c" that answers "PUT /v1/configuration" with acceptance
    When the operator types "apply one.toml"
    Then the program exits with 0 and prints "accepted: version 1"
    And each stub replica received the same file

  Scenario: A lost response is reported as not known and never as accepted
    Given a stub replica "a" that closes every connection
    When the operator types "apply one.toml"
    Then the program exits with 3 and writes "not known; send the same file again (a: Server disconnected)" to stderr
    And the program prints nothing

  Scenario: Refusals and invalid files reported by control exit with 1
    Given a stub replica "a" that answers "PUT /v1/configuration" with 409 application/json {"accepted":false,"version":4,"digest":"d","reason":"version 4 is in force"}
    When the operator types "apply one.toml"
    Then the program exits with 1 and prints "refused: version 4 is in force"
    Given a stub replica "a" that answers "PUT /v1/configuration" with 400 application/json {"problems":["services.x: first","services.y: second"],"step":"check"}
    When the operator types "apply one.toml"
    Then the program exits with 1 and writes "services.y: second" to stderr

  Scenario: An authorization error after a lost response does not decide the outcome
    Given a stub replica "a" that answers "PUT /v1/configuration" with 401 application/json {"error":"the operator token is missing or wrong","step":"authorize"}
    When the operator types "apply one.toml"
    Then the program exits with 1 and writes "apply: a: the operator token is missing or wrong" to stderr
    Given a stub replica "0" that closes every connection
    When the operator types "apply one.toml"
    Then the program exits with 3 and writes "not known; send the same file again (0: Server disconnected; a: the operator token" to stderr

  Scenario: Processes that do not serve the version at the time limit are listed
    Given a stub replica "a" that answers "PUT /v1/configuration" with acceptance
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1, d2 at 0"
    And a stub replica "b" that closes every connection
    When the operator types "apply one.toml --wait --timeout 1"
    Then the program exits with 3 and prints "not in force yet: b, d2"

  Scenario: A file is compared with the configuration of a replica with a quorum
    Given a stub replica "a" that answers "GET /v1/configuration" with the file "two.toml"
    And the stub replica "a" reports version 2 with a quorum and the daemons "d1 at 1"
    And a stub replica "b" that answers "GET /v1/configuration" with the file "one.toml"
    And the stub replica "b" reports version 9 without a quorum and the daemons "d1 at 1"
    When the operator types "diff one.toml"
    Then the program exits with 0 and prints "changed  services.archive.queue_limit"
    And the program prints "2         1"
    And the program prints "apply would refuse this file: version 2 is in force"
    When the operator types "show"
    Then the program exits with 0 and prints "version = 2"

  Scenario: Replicas without a quorum are shown, but their configuration is not used
    Given a stub replica "a" that answers "GET /v1/configuration" with the file "one.toml"
    And the stub replica "a" reports version 1 without a quorum and the daemons "d1 at 1"
    When the operator types "status"
    Then the program exits with 3 and writes "no replica has a quorum" to stderr
    When the operator types "show"
    Then the program exits with 3 and writes "no replica has a quorum; cut off: a" to stderr

  Scenario: A change of the replica set is reported only if control confirms it
    Given a stub replica "a" that answers "GET /v1/replicas" with 200 application/json {"epoch":3,"replicas":[["c1",["127.0.0.1",1]]],"following":[]}
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "replicas"
    Then the program exits with 0 and prints "c1       127.0.0.1:1  member"
    When the operator types "replicas remove c1"
    Then the program exits with 3 and writes "replicas: a: not known; see replicas list" to stderr
    Given a stub replica "a" that answers "POST /v1/replicas/remove" with 409 application/json {"error":"the last replica can't leave"}
    When the operator types "replicas remove c1"
    Then the program exits with 1 and writes "replicas: a: the last replica can't leave" to stderr
    Given a stub replica "a" that answers "POST /v1/replicas/remove" with 202 application/json {"epoch":3,"replicas":[["c1",["127.0.0.1",1]]],"following":[["c1",["127.0.0.1",1]]]}
    When the operator types "replicas remove c1"
    Then the program exits with 0 and prints "epoch 3"

  Scenario: Names from other processes cannot inject terminal escape sequences
    Given a stub replica "a" that closes every connection
    And the stub replica "a" reports version 1 with a quorum and the daemons "dESCAPE[2J at 1"
    When the operator types "status"
    Then the program exits with 0 and prints no control character

  Scenario Outline: Styles are used only on terminals without NO_COLOR
    Given a stub replica "a" that closes every connection
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
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
