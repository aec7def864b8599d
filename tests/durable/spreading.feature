Feature: An accepted file reaches all replicas at once, with few bytes

  Scenario: A replica that holds the content learns that it is accepted
    Given a control replica whose register holds version 3 as "x"
    When another replica asks for news and knows version 3 as "x"
    Then the control replica serves version 3
    And the control replica asks nobody for it

  Scenario Outline: A replica that holds something else asks for the file at once
    Given a control replica whose register holds version 3 as "x"
    When another replica asks for news and knows version <version> as "<text>"
    Then the control replica serves version 0
    And the control replica asks the others at once

    Examples:
      | version | text |
      | 3       | y    |
      | 4       | x    |

  Scenario: Who knows an older version has no news
    Given a control replica whose register holds version 3 as "x"
    When another replica asks for news and knows version 3 as "x"
    And another replica asks for news and knows version 2 as "w"
    Then the control replica serves version 3
    And the control replica asks nobody for it

  Scenario Outline: Long messages travel compressed, short ones as they are
    Given a control message of <size> equal bytes
    Then sealed as a request and as a reply it takes <most> bytes at most
    And it is the same once opened

    Examples:
      | size    | most |
      | 0       | 49   |
      | 399     | 448  |
      | 400     | 100  |
      | 1000000 | 6000 |

  Scenario Outline: A sealed message that can't be unpacked is refused
    Given a sealed request whose packed payload is <content>
    Then opening it is refused

    Examples:
      | content            |
      | cut                |
      | no compressed data |
      | beyond the limit   |
