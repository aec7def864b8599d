Feature: Routes by host and path prefix

  Scenario Outline: The route with the longest matching prefix is chosen
    Given host routes "all" at "sheets.example/", "view" at "sheets.example/view/" and "deep" at "sheets.example/view/old/"
    Then a call to "<host>" at "<target>" matches the route "<route>"

    Examples:
      | host                | target            | route |
      | sheets.example      | /view/7?x=/old/   | view  |
      | SHEETS.example:8080 | /view/old/7       | deep  |
      | sheets.example      | /view             | all   |
      | sheets.example      | /viewer/1         | all   |
      | other.example       | /view/7           | none  |

  Scenario Outline: A route may be for one port of a host
    Given host routes "all" at "sheets.example/", "view" at "sheets.example:8080/view/" and "other" at "archive.example:90/"
    Then a call to "<host>" at "<target>" matches the route "<route>"

    Examples:
      | host                 | target  | route |
      | sheets.example:8080  | /view/7 | view  |
      | sheets.example:8080  | /list/7 | all   |
      | sheets.example:8081  | /view/7 | all   |
      | sheets.example       | /view/7 | all   |
      | Archive.example:90   | /7      | other |
      | archive.example      | /7      | none  |

  Scenario: Calls are split by weight
    Given a host route split 90 to "orders" and 10 to "sheets"
    Then of 2000 calls a share of 0.87 to 0.93 goes to "orders"

  Scenario Outline: An invalid configuration is refused with its reason
    Given a valid configuration with host routes
    When <change>
    Then the configuration is refused: "<reason>"

    Examples:
      | change                                 | reason                                     |
      | its route names the service "nowhere"  | nowhere is not a known service             |
      | a second route has its host and prefix | has the same host and prefix as            |
      | its timeout is 0 ms                    | expected `float` > 0.0                     |
      | its timeout is 600001 ms               | expected `float` <= 600000.0               |
      | its limit is 0 attempts                | expected `int` >= 1                        |
      | all weights of its split are 0         | must have a weight above 0                 |
      | it has a service and a split           | must have exactly one of service and split |

  Scenario: A patch adds and removes host routes
    Given a valid configuration with host routes
    When a patch to version 9 adds the route "new" and removes the route "main"
    Then the configuration has version 9 and the routes "new"

  Scenario: An encoded configuration is decoded without change
    Given a valid configuration with host routes
    Then encoding and decoding it gives the same configuration
