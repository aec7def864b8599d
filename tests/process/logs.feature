Feature: Log lines are bounded and never make a process wait

  Scenario: A reader that stops reading does not stop the process
    Given a log stream into a pipe that nobody reads
    When 20000 lines of 100 bytes are written
    Then writing took less than 2 s
    When the pipe is read and one more line is written
    Then the lines read and the count left out are 20001 together

  Scenario: A reader that is gone does not stop the process
    Given a program that logs in a loop into a pipe that closes
    Then the program goes on until its end

  Scenario: Lines of one message are bounded in each second
    Given a limit on lines
    When 1000 lines "call refused" and 5 lines "started" are offered in a second
    Then 200 lines "call refused" and 5 lines "started" are admitted
    And the next line "call refused" tells of 800 left out
