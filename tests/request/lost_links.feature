Feature: A call whose daemon vanished goes elsewhere soon

  Load pattern: the VM beside an upstream is gone and answers no packet; its
  calls are lost after the link went silent, and a question takes long too.

  Scenario Outline: The result of an attempt whose link failed
    Given a link that fails after an attempt was sent
    And a question over a new link takes <question> ms
    Then an attempt that <kind> idempotent is "<result>" within <limit> ms

    Examples:
      | question | kind   | result         | limit |
      | 2000     | is     | lost           | 300   |
      | 20       | is     | answer         | 300   |
      | 300      | is not | answer         | 1000  |
