Feature: A connection that closes without an answer is not always a crash

  Load pattern: answers that are lost on their way while the upstream lives.

  Scenario Outline: An upstream that still answers did not crash
    Given a daemon beside an upstream that closes connections and <health>
    When 3 attempts of the same request are run there
    Then each attempt is lost and <suspected>

    Examples:
      | health                         | suspected                          |
      | answers its health page        | none of them suspects a crash      |
      | does not answer its health page | the last one is refused as suspect |
      | has no health page             | the last one is refused as suspect |
