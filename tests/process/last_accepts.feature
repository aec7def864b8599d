Feature: Closing the caller socket resets no pending connections

  Load pattern: a daemon stops on a busy VM while callers connect.

  Scenario: Connections that the event loop has not accepted yet are served
    Given a caller listener on a blocked event loop
    When 5 callers connect and send a call, and the socket is closed immediately
    Then all 5 callers are answered
