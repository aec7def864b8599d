Feature: The platform's form of a configuration

  # Guards against a configuration that is accepted although it is ambiguous or
  # invalid, and against a refusal that shows a key.
  Scenario Outline: An invalid configuration is refused without its keys
    Given the platform's configuration with a team, an upload and a download
    When <change>
    Then the platform's configuration is refused: "<reason>"
    And the refusal contains no key

    Examples:
      | change                                                   | reason                                |
      | a second team "red" gets the key of the team             | teams.red.keys: shares a key with     |
      | the entry 0 is given twice                               | routes.r-up: is given twice           |
      | the entry 2 is given twice                               | services.orders: is given twice       |
      | the entry 3 is given twice                               | tenants.blue: is given twice          |
      | the entry 4 is given twice                               | limits: are given twice               |
      | the field "routeType" of the entry 0 is "put"            | Invalid enum value                    |
      | the field "apiKeys" of the entry 3 is "sEcret-key"       | Expected `array`, got `str`           |
      | the field "apiKeys" of the entry 3 is ["sEcret-key ", 1] | Expected `str`, got `int`             |
      | the field "apiKeys" of the entry 3 is ["sEcret-key "]    | regex                                 |
      | the field "priority" of the entry 3 is "sEcret-key"      | Expected `int`, got `str`             |
      | the field "ratePerS" of the entry 3 is -1                | `float` >= 0                          |
      | the entry 3 has the name "a\nb"                          | is no name that a header can have     |
      | the entry 3 has the name "b\u00fc "                      | is no name that a header can have     |
      | its text ends after the key                              | truncated                             |

  Scenario Outline: A patch that changes and removes one name is refused
    Given the platform's configuration with a team, an upload and a download
    When a patch sends the entry <entry> and removes "<name>" of "<kind>"
    Then the platform's patch is refused: "<kind>.<name>: is both changed and removed"
    And the refusal contains no key

    Examples:
      | entry | name   | kind     |
      | 0     | r-up   | routes   |
      | 2     | orders | services |
      | 3     | blue   | tenants  |

  # Guards against fields that are lost or changed when an operator reads the
  # configuration back.
  Scenario: A configuration is read back as it was sent
    Given the platform's configuration with a team, an upload and a download
    When each entry and the configuration get an unknown field
    Then the platform's configuration is read back as sent
    And the route "r-up" has semantics "at-most-once" and large "requests"
    And the route "r-down" has semantics "idempotent" and large "responses"

  Scenario: A patch changes and removes teams
    Given the platform's configuration with a team, an upload and a download
    When a patch sends a team "red" with the key "k-9" and removes the team "blue"
    Then the patched configuration has the team "red" with the key "k-9" only

  # Guards against values that no reader decodes, and against those that are
  # stored and read back as something else.
  Scenario Outline: What can't be stored as sent is refused with its reason
    Given the platform's configuration with a team, an upload and a download
    When <change>
    Then the platform's configuration is refused: "<reason>"
    And the refusal contains no key

    Examples:
      | change                                                                | reason                            |
      | a field "note" of the entry 0 is nested 33 levels deep                | host_routes.r-up.extensions       |
      | a field "note" of the entry 2 is nested 400 levels deep               | services.orders.extensions        |
      | a field "note" of the entry 3 is nested 980 levels deep               | deep                              |
      | a field "note" of the entry 4 is nested 33 levels deep                | limits.extensions                 |
      | a field "note" of the entry 4 is nested 100000 levels deep            | deep                              |
      | a field "note" of a share of the entry 0 is nested 33 levels deep     | host_routes.r-up.split[0]         |
      | the field "healthPath" of the entry 2 is "/a b"                       | services.orders.health_path       |
      | the field "healthPath" of the entry 2 is "/a\r\nX-Key: b"             | services.orders.health_path       |
      | the field "pathPrefix" of the entry 0 is "/a/\n"                      | host_routes.r-up.path_prefix      |
      | the field "apiKeys" of the entry 3 is ["sEcret-key\n"]                | regex                             |
      | the entry 4 has the name "all"                                        | limits: have no name              |
      | the field "note" is given twice in the entry 1                        | the field 'note' is given twice   |
      | the field "version" is given twice                                    | the field 'version' is given twice |

  # Shows that the limit on nesting is what keeps versions readable.
  Scenario: Each configuration that is accepted is read back by every process
    When the fuzzer of configurations runs 300 examples with seed 1
    Then the fuzzer found no invariant violation
    When extensions may nest 100000 levels deep
    And the fuzzer of configurations runs 100 examples with seed 1
    Then the fuzzer found an invariant violation

  # Guards against a text that is stored although no message can carry it: the
  # register could then never be changed again.
  Scenario Outline: A configuration is refused if it is too large to be sent on
    Given a configuration of <size> bytes in force
    When <change> makes it <larger> bytes
    Then the change is <result>

    Examples:
      | size    | change        | larger   | result                        |
      | 1000    | a new version | 8388608  | accepted                      |
      | 1000    | a new version | 8388609  | refused: more than 8388608    |
      | 8388000 | a patch       | 8389000  | refused: more than 8388608    |
