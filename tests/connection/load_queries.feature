Feature: Daemons query each other's load over UDP

  Scenario: A query is answered with the load and an estimate
    Given two load sockets with the same key
    When the first one queries the second one for the route "sheets/view" of 80 ms
    Then the load reply has incarnation 7, 3 running calls and an estimate of 81 ms

  Scenario: A daemon that accepts no calls replies without an estimate
    Given two load sockets with the same key
    And the second one accepts no calls
    When the first one queries the second one for the route "sheets/view" of 80 ms
    Then the load reply has incarnation 7 and no estimate

  Scenario Outline: Unauthenticated and invalid datagrams are counted and not answered
    Given two load sockets with <keys>
    When <datagram> is sent to the second one
    Then the second load socket counted <counter> and sent no reply

    Examples:
      | keys           | datagram                               | counter  |
      | different keys | a query                                | unproved |
      | the same key   | one byte                               | unproved |
      | the same key   | an empty datagram                      | unproved |
      | the same key   | an authenticated text that is no array | bad      |
      | the same key   | an authenticated reply without a query | nothing  |
      | the same key   | an authenticated query nested too deeply | bad    |

  Scenario: A daemon whose UDP port is in use sends no queries
    Given two load sockets with the same key
    When a third load socket starts at the address of the second one
    Then its query gets no reply and it closes without an error

  Scenario Outline: The estimate accounts for running, queued and slow calls
    Given an upstream of 4 slots that completed calls of 100 ms
    When <condition>
    Then a new call is expected to take <least> to <most> ms

    Examples:
      | condition                                     | least | most |
      | no calls run                                  | 90    | 110  |
      | 3 calls run                                   | 95    | 125  |
      | 4 calls run and 4 wait                        | 150   | 400  |
      | 3 calls have been running for 1 s             | 150   | 400  |
      | its last 8 calls took 800 ms each             | 300   | 800  |
      | it has just reported a pace of 5              | 150   | 300  |
      | it reported a pace of 5 a second ago          | 90    | 130  |
