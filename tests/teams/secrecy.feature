Feature: API keys stay secret

  # Guards against keys in the output of the operators' program.
  Scenario Outline: The difference of two versions shows which keys change, not the keys
    Given an operator file "old.toml" of version 1 whose team has the keys "sEcret-1, sEcret-2"
    And an operator file "new.toml" of version 2 whose team has the keys "sEcret-1, sEcret-3, sEcret-4"
    And a stub replica "a" that answers "GET /v1/configuration" with the file "old.toml"
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "<command>"
    Then the program exits with 0 and prints "<text>"
    And the program prints no "sEcret" and no "sEcret" to stderr

    Examples:
      | command              | text                         |
      | diff new.toml        | teams.blue.a.keys[1]         |
      | diff new.toml        | teams.blue.a.keys[2]         |
      | diff new.toml --json | "old":"(secret)"             |
      | diff new.toml        | changed  version             |
      | check new.toml       | valid: version 2, 1 services |

  Scenario: Keys that don't change are no difference
    Given an operator file "old.toml" of version 1 whose team has the keys "sEcret-1, sEcret-2"
    And a stub replica "a" that answers "GET /v1/configuration" with the file "old.toml"
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    When the operator types "diff old.toml"
    Then the program exits with 0 and prints "no differences"

  Scenario Outline: An invalid team is refused without its keys
    Given an operator file "bad.toml" of version 1 whose team is <team>
    When the operator types "check bad.toml"
    Then the program exits with 1 and writes "<reason>" to stderr
    And the program prints no "sEcret" and no "sEcret" to stderr

    Examples:
      | team                                   | reason                      |
      | {keys = "sEcret-1"}                    | expected `array`, got `str` |
      | {keys = ["sEcret 1"]}                  | regex                       |
      | {keys = [["sEcret-1"]]}                | expected `str`, got `array` |
      | {keys = [{sEcret = 1}]}                | expected `str`              |
      | {key = ["sEcret-1"]}                   | is not a known key          |
      | {keys = ["sEcret-1"], rank = "first"}  | expected `int               |
      | {keys = ["sEcret-1"], keys = []}       | bad.toml                    |
      | "sEcret-1"                             | must be a table             |

  # Guards against keys that the product's own programs pass on, log or show.
  Scenario: The product's own programs keep keys secret and pass the team on
    Given a deployment with 1 job-sheets, 1 work-orders
    Then a product call with the key "sEcret-1" to "/job-sheets/sheets/1" has the status 503
    When a file of version 1 with a team "blue" and the keys "sEcret-1, sEcret-2" is in force everywhere
    Then a product call with the key "sEcret-1" to "/job-sheets/sheets/1" has the status 200
    And the product's upstream received the team "blue" and no key
    And a product call without a key to "/job-sheets/open/1" has the status 200
    And the product's upstream received no team and no key
    And a product call with the key "sEcret-9" to "/job-sheets/sheets/1" has the status 401
    And a product call with the key "sEcret-9" to "/job-sheets/open/1" has the status 401
    And a product call without a key to "/job-sheets/sheets/1" has the status 401
    And the product's answer to a malformed call with the key "sEcret-1" doesn't contain it
    When a file of version 2 with a team "blue" and the keys "sEcret-2" is in force everywhere
    Then a product call with the key "sEcret-1" on the same connection has the status 401
    And a product call with the key "sEcret-2" to "/job-sheets/sheets/1" has the status 200
    When the operator runs "show"
    Then the operator sees exit code 0 and "sEcret-2"
    And the outputs of status, diff and timeline, all logs and all metrics contain no "sEcret"
