Feature: Content that is nested too deeply is refused like any other invalid one

  # Guards against one deeply nested message that ends a task or a process.
  Scenario Outline: A reader refuses nested content with its own error
    When <reader> reads content that is nested 100000 levels deep
    Then it fails with <error>: nested too deeply

    Examples:
      | reader                       | error              |
      | a link                       | LinkError          |
      | a configuration file in JSON | ConfigurationError |
      | a configuration file in TOML | ConfigurationError |

  Scenario: A control server goes on after nested requests
    Given a control server that counts invalid requests
    When 300 requests are sent that are nested 100000 levels deep
    Then each of them is answered with a failure to decode
    And a valid request is answered
