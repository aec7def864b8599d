Feature: The memory budget of a process

  Background:
    Given a memory budget of 80 MiB

  # Guards against large bodies that leave no memory for small calls.
  Scenario: Large requests leave room for answers, and both for small calls
    When requests reserve 60 MiB
    Then a request of 1 MiB finds no room
    And answers of 10 MiB find room and further ones of 1 MiB do not
    And a call of 1 MiB finds room

  # Guards against bodies that overtake those that wait, which starves them.
  Scenario: Bodies that wait are granted in order, answers before requests
    When requests reserve 60 MiB
    And a request of 50 MiB waits, then one of 1 MiB, then an answer of 40 MiB
    And 60 MiB of the requests are returned
    Then the answer of 40 MiB is granted alone
    When 40 MiB of the answers are returned
    Then the requests are granted in order

  # Guards against a reservation that outlives its body, or ends before it.
  Scenario: A reservation lasts as long as the body is referenced
    When a body of 2 MiB is collected and a part of it kept
    Then 2 MiB are reserved until the part is dropped

  # Guards against waiting bodies that hold connections without bound.
  Scenario: Bodies that can never fit, and too many of them, are refused
    When requests reserve 60 MiB
    Then a request of 70 MiB can't wait and only 16 of 1 MiB can

  # Guards against large frames that differ on the wire from small ones' form.
  Scenario: A frame in pieces is the same on the wire and is read back
    When an attempt and an answer of 1 MiB are encoded in pieces
    Then the pieces are what the encoder makes of the whole frames
    And reading them in parts returns them without a copy of the body

  # Guards against a link that ends, with all its calls, by one large frame.
  Scenario: A frame without room is skipped and its attempt is refused
    When requests reserve 60 MiB
    And the budget is full
    Then reading an attempt of 1 MiB refuses it and reads the frame behind it
