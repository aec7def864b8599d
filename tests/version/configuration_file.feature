Feature: A configuration file is accepted whole or not at all

  Scenario: Every problem is shown with its place
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
      version: must be 1 or more
      services.archive.retry_ratio: must be above 0 to hedge
      services.archive.routes[0].path: must start with /
      services.archive.routes[0].timeout_ms: must be above 0
      """
