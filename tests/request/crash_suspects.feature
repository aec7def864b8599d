Feature: A connection that closes without an answer is not always a crash

  Load pattern: answers are lost on the way while the upstream is alive.

  Scenario Outline: An upstream that passes its health check did not crash
    Given a daemon beside an upstream that closes connections and <health>
    When 3 attempts of the same request are run by the daemon
    Then each attempt is lost and <suspected>

    Examples:
      | health                  | suspected                          |
      | passes its health check | no crash is suspected              |
      | fails its health check  | the last one is refused as suspect |
      | has no health check     | the last one is refused as suspect |
