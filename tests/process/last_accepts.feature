Feature: Closing the caller socket resets no pending connections

  Load pattern: a daemon stops on a busy VM while callers connect.

  Scenario: Connections that the event loop has not accepted yet are served
    Given a callers' socket on a loop that does not run for a moment
    When 5 callers connect and send a call, and the socket is closed at once
    Then all 5 callers are answered
