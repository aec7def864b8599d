Feature: Configuration files are validated as a whole

  Scenario: Each problem is reported with its location
    When this file is checked
      """
      version = 0
      [services.archive]
      hedge_after_ms = 5
      retry_ratio = 0.0
      [[services.archive.routes]]
      name = "look-up"
      method = "GET"
      path = "records"
      idempotent = true
      timeout_ms = 0
      """
    Then the problems are
      """
      version: expected `int` >= 1
      services.archive.routes[0].path: expected `str` matching regex '^/'
      services.archive.routes[0].timeout_ms: expected `float` >= 1.0
      """

  Scenario: Unknown, missing and wrongly typed keys are reported together
    When this file is checked
      """
      version = "one"
      colour = "red"
      [measuring]
      messages_per_second = -1
      [services.Archive]
      routes = 7
      [services.sheets]
      [[services.sheets.routes]]
      name = "view"
      method = "GET"
      idempotent = "yes"
      path = "/sheets"
      priority = "urgent"
      """
    Then the problems are
      """
      colour: is not a known key
      version: expected `int`, got `str`
      services.Archive: expected `str` matching regex '^[a-z][a-z0-9-]{0,62}\\Z'
      services.Archive.routes: expected `array`, got `int`
      services.sheets.routes[0].idempotent: expected `bool`, got `str`
      services.sheets.routes[0].priority: Invalid enum value 'urgent'
      measuring.messages_per_second: expected `float` >= 0.0
      """

  Scenario: Contradictory settings are reported together
    When this file is checked
      """
      version = 3
      [services.archive]
      hedge_after_ms = 5
      retry_ratio = 0.0
      max_attempts = 1
      [[services.archive.routes]]
      name = "look-up"
      method = "GET"
      path = "/records"
      idempotent = true
      key_required = true
      [[services.archive.routes]]
      name = "look-up"
      method = "GET"
      path = "/records"
      idempotent = true
      cost_ms = 50
      timeout_ms = 20
      """
    Then the problems are
      """
      services.archive.retry_ratio: must be above 0 to hedge
      services.archive.max_attempts: must be above 1 to hedge
      services.archive.routes[0].key_required: must be false on idempotent routes
      services.archive.routes[1].name: is used twice
      services.archive.routes[1].path: is used twice for GET
      services.archive.routes[1].cost_ms: must not be above timeout_ms
      """

  Scenario: A TOML syntax error is reported with its position
    When this file is checked
      """
      version = = 1
      """
    Then the problems are
      """
      Invalid value (at line 1, column 11)
      """
