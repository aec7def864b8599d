Feature: Daemons ask each other for their load by datagrams

  Scenario: A question is answered with the load and an estimate
    Given two load sockets with the same key
    When the first one asks the second one for the route "sheets/view" of 80 ms
    Then the load reply names incarnation 7, 3 running calls and 81 ms

  Scenario: A daemon that takes no work says so
    Given two load sockets with the same key
    And the second one takes no work
    When the first one asks the second one for the route "sheets/view" of 80 ms
    Then the load reply names incarnation 7 and no estimate

  Scenario Outline: Datagrams that prove nothing are counted and not answered
    Given two load sockets with <keys>
    When <sent> is sent to the second one
    Then the second load socket counted <counter> and answered nothing

    Examples:
      | keys         | sent                          | counter  |
      | other keys   | a question                    | unproved |
      | the same key | one byte                      | unproved |
      | the same key | nothing                       | unproved |
      | the same key | a proven text that is no list | bad      |
      | the same key | a proven reply to nobody      | nothing  |

  Scenario: A port that is taken leaves a daemon without questions
    Given two load sockets with the same key
    When a third load socket starts at the address of the second one
    Then its questions get no reply and it closes without an error

  Scenario Outline: The estimate grows with what delays a call
    Given an upstream of 4 slots that ran calls of 100 ms
    When <what>
    Then a new call is expected to take <least> to <most> ms

    Examples:
      | what                                          | least | most |
      | nothing runs                                  | 90    | 110  |
      | 3 calls run                                   | 95    | 125  |
      | 4 calls run and 4 wait                        | 150   | 400  |
      | 3 calls have been running for 1 s             | 150   | 400  |
      | its last 8 calls took 800 ms each             | 300   | 800  |
      | it tells a pace of 5 just now                 | 150   | 300  |
      | it told a pace of 5 a second ago              | 90    | 130  |
