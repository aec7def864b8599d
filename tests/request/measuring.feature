Feature: Load probes stay within the measuring budget

  Scenario Outline: The budget holds for any number of services and upstreams
    Given a measuring budget of <messages> messages and <bytes> bytes a second
    When <services> services of <members> upstreams are probed for 5 seconds
    Then the probes stay within the measuring budget in every second
    And the probes use at least 0.9 of one limit

    Examples:
      | messages | bytes | services | members |
      | 20       | 4000  | 4        | 5       |
      | 20       | 4000  | 120      | 7       |
      | 1000     | 4000  | 120      | 300     |
      | 0        | 4000  | 120      | 7       |

  Scenario: Upstreams with fresh reports and services without calls are not probed
    Given a measuring budget of 1000 messages and 100000 bytes a second
    When probes are planned for a service with fresh reports
    Then no probe is planned
    When probes are planned after 11 seconds without a call
    Then no probe is planned

  Scenario Outline: A load signal that is missing or constant under traffic is reported
    When 60 answers in 3 seconds come with <reports> and 0 to 5 attempts in flight
    Then the dead signals are "<dead>"

    Examples:
      | reports          | dead          |
      | no reports       | never came    |
      | equal reports    | never changes |
      | changing reports |               |

  Scenario: The recovery of a dead load signal is reported
    When 60 answers in 3 seconds come with no reports and 0 to 5 attempts in flight
    And a new load report comes
    Then the dead signals are ""
    And the reported signal changes are "never came,"

  Scenario: Background probes and load queries share one budget
    Given a daemon whose load queries have used its measuring budget
    Then its background probes may send nothing
