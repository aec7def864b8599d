Feature: TLS protects control messages and the operators' pages

  Scenario Outline: A TLS file that can't be used is named at the start
    When TLS is set up with <files>
    Then setting it up names the <file> and fails with "<reason>"

    Examples:
      | files                  | reason                      | file        |
      | an expired certificate | expired on 2020-01-02       | certificate |
      | the key of another     | cannot be used              | key         |
      | a torn certificate     | is not a valid certificate  | certificate |

  Scenario: TLS files are set together
    When TLS is set up with no authority
    Then setting it up fails with "must be set together" and no file

  Scenario: A deployment with TLS takes only holders of a certificate
    Given TLS files protect 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/1" through "archive-0"
    Then the call has the outcome "answered" and the status 200
    And a control client without a certificate gets no answer
    And a control client with an authority but no certificate gets no answer
    And an operator without the authority can not reach control
