Feature: An acknowledged configuration is in force whatever becomes of its replica

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against daemons that keep an older version for as long as the replica
  # that acknowledged a newer one is away (review/11). A replica that has time to
  # announce the change before its end would hide the fault, so there are rounds.
  Scenario Outline: Each change stays in force while its replica is <end>
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    Then in 6 rounds a <change> is in force at both daemons within 3.3 s after its replica was <end> as it acknowledged it
    And no process has logged an unexpected error

    Examples:
      | change   | end    |
      | replace  | killed |
      | patch    | killed |
      | replace  | frozen |
      | patch    | frozen |
