Feature: TLS for control messages and the operator API

  Scenario Outline: Loading an invalid TLS file fails with an error that names it
    When TLS files with <fault> are loaded
    Then loading fails for the <file> with "<reason>"

    Examples:
      | fault                          | reason                     | file        |
      | an expired certificate         | expired on 2020-01-02      | certificate |
      | the key of another certificate | cannot be used             | key         |
      | a truncated certificate        | is not a valid certificate | certificate |

  Scenario: TLS files must be set together
    When TLS files with no authority are loaded
    Then loading fails with "must be set together" and names no file

  Scenario: A deployment with TLS requires client certificates
    Given a TLS deployment with 1 job-sheets upstream
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/1" through "archive-0"
    Then the call has the outcome "answered" and the status 200
    And a control client without a certificate gets no answer
    And a control client with an authority but no certificate gets no answer
    And an operator without the authority cannot reach control
