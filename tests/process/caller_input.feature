Feature: Invalid calls are refused with the outcome not-run

  Scenario: Malformed calls are refused, and upstream responses are forwarded
    Given a deployment with 1 job-sheets
    When raw bytes are sent to the caller port of "job-sheets-0"
      """
      GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n
      """
    Then the raw response has status 503, outcome "not-run" and cause "no-configuration"
    Given the file "tests/process/outcomes.toml" is in force everywhere
    Then each raw call is refused with the outcome "not-run"
      | call                                                              | status | cause           |
      | GET /quarry/x HTTP/1.1\r\nHost: a\r\n\r\n                         | 404    | unknown-service |
      | PATCH /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\n\r\n            | 404    | unknown-route   |
      | GET /job-sheets/sheets/../orders HTTP/1.1\r\nHost: a\r\n\r\n      | 400    | bad-target      |
      | GET /job-sheets/sheets/%2e%2E/orders HTTP/1.1\r\nHost: a\r\n\r\n  | 400    | bad-target      |
      | GET /job-sheets/sheets%2Fa HTTP/1.1\r\nHost: a\r\n\r\n            | 400    | bad-target      |
      | GET /job-sheets//orders HTTP/1.1\r\nHost: a\r\n\r\n               | 400    | bad-target      |
      | GET /job-sheets/sheets/%zz HTTP/1.1\r\nHost: a\r\n\r\n            | 400    | bad-target      |
      | GET /job-sheets/sheets/\xc3\xa4 HTTP/1.1\r\nHost: a\r\n\r\n       | 400    | bad-request     |
      | GET http://a/job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\n\r\n      | 400    | bad-target      |
      | GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\nX: \xff\r\n\r\n   | 400    | bad-headers     |
      | GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\nBurdocklead-Deadline-Ms: -1\r\n\r\n  | 400 | bad-deadline |
      | GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\nBurdocklead-Deadline-Ms: nan\r\n\r\n | 400 | bad-deadline |
      | POST /job-sheets/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nIdempotency-Key:\r\n\r\n      | 400 | bad-key |
      | POST /job-sheets/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nIdempotency-Key: a\tb\r\n\r\n | 400 | bad-key |
      | POST /job-sheets/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n{1100000 bytes} | 413 | body-too-large |
      | POST /job-sheets/orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n | 400 | bad-request |
      | POST /job-sheets/orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n{continue}5\r\nabcde\r\nzz\r\n | 400 | bad-body |
      | GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\n{300 headers}\r\n | 400 | bad-request |
      | GET /job-sheets/sheets/1 HTTP/1.1\r\nHost a\r\n\r\n               | 400 | bad-request |
      | nonsense\r\n\r\n                                                  | 400 | bad-request |
    And no upstream ran any call
    Then each response of the upstream is forwarded with status, headers and body
      | method | status | headers                                                    | body  |
      | GET    | 200    | Set-Cookie: a=1; Set-Cookie: b=2; Content-Type: text/plain | hello |
      | GET    | 200    | Content-Encoding: gzip; ETag: "x"                          | gzip  |
      | HEAD   | 200    | Content-Length: 77; Content-Type: text/html                |       |
      | GET    | 204    | X-Kind: none                                               |       |
      | GET    | 304    | ETag: "y"                                                  |       |
      | GET    | 302    | Location: http://elsewhere.invalid/                        |       |
      | GET    | 500    | Content-Type: text/plain                                   | sorry |
    When a client sends a header that its Connection header names
    Then the upstream did not receive that header
