Feature: Results of attempts whose link failed

  If the VM of an upstream fails, it answers no packets. Its attempts are lost
  once the silent link is closed, and a query over a new link takes long too.
  An idempotent call must be retried elsewhere without waiting for that query.

  Scenario Outline: The result of an attempt whose link failed
    Given a link that fails after an attempt was sent
    And a query over a new link takes <query> ms
    Then an attempt that <kind> idempotent is "<result>" within <limit> ms

    Examples:
      | query | kind   | result | limit |
      | 2000  | is     | lost   | 300   |
      | 20    | is     | answer | 300   |
      | 300   | is not | answer | 1000  |
