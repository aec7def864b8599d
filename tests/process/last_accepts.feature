Feature: Closing the caller socket resets no pending connections

  Load pattern: a daemon stops on a busy VM while callers connect.

  Scenario: Connections that the event loop has not accepted yet are served
    Given a caller listener on a blocked event loop
    When 5 callers connect and send a call, and the socket is closed immediately
    Then all 5 callers are answered

  Scenario: The closed socket refuses connections at once
    Given a caller listener on a blocked event loop
    When the socket is closed and a caller connects before the server stops
    Then the caller is refused
