Feature: Changes need the operator token, and peer messages the cluster key

  Scenario: A cluster key or token that is too short is rejected at startup
    When a cluster key file holds "short"
    Then loading it fails with "must hold at least 16 bytes"
    When an operator token file holds "short"
    Then loading it fails with "must hold at least 16 characters"

  Scenario: Messages sealed with another cluster key are rejected
    Given two cluster keys "first-shared-secret" and "other-shared-secret"
    Then a request sealed with the first key opens with the first key only
    And a tampered request does not open
    And a reply to one request does not open as the reply to another

  Scenario: A deployment with a cluster key and a token rejects requests without them
    Given a cluster key and an operator token protect 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/1" through "job-sheets-0"
    Then the call has the outcome "answered" and the status 200
    When an operator without the token sends a file
    Then the file is refused with the status 401
    When a peer without the key sends an exchange
    Then its request gets no answer and is counted

  Scenario: A key and a token that were withdrawn are refused after a restart
    Given a cluster key and an operator token protect 1 job-sheets
    And the file "examples/cedarline.toml" is in force everywhere
    When the key and the token are replaced and all processes restart
    Then a client gets an answer from "/job-sheets/sheets/1" through "job-sheets-0"
    When an operator sends a file with the withdrawn token
    Then the file is refused with the status 401
    When a peer with the withdrawn key sends an exchange
    Then its request gets no answer and is counted
