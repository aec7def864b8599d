Feature: Only operators with the token and peers with the cluster key act

  Scenario: A key file or token that is too short is refused at the start
    When a cluster key file holds "short"
    Then loading it fails with "must hold at least 16 bytes"
    When an operator token file holds "short"
    Then loading it fails with "must hold at least 16 characters"

  Scenario: Messages of a peer with another key are not acted on
    Given two cluster keys "first-shared-secret" and "other-shared-secret"
    Then a request sealed with one opens with it and not with the other
    And a changed request does not open
    And a reply to one request does not open as the reply to another

  Scenario: A deployment with a key and a token takes only their holders
    Given a key and a token protect 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/1" through "job-sheets-0"
    Then the call has the outcome "answered" and the status 200
    When an operator without the token sends a file
    Then the file is refused with the status 401
    When a peer without the key asks to be a member
    Then its request gets no answer and is counted
