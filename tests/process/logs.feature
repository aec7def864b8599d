Feature: Logging is bounded and never blocks a process

  Scenario: A process keeps running when the reader of its log stalls
    Given a log stream into a pipe that nobody reads
    When 20000 lines of 100 bytes are written
    Then writing took less than 2 s
    When the pipe is read and one more line is written
    Then the lines read and the lines left out add up to 20001

  Scenario: A process keeps running when the reader of its log exits
    Given a program that logs in a loop into a closed pipe
    Then the program runs to its end

  Scenario: Each message has a limit of lines per second
    Given a limit of lines per second
    When 1000 lines "call refused" and 5 lines "started" are logged in a second
    Then 200 lines "call refused" and 5 lines "started" are admitted
    And the next line "call refused" reports 800 lines left out
