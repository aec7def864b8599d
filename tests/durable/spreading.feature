Feature: An accepted file reaches all replicas at once, in small messages

  Scenario: A replica that has the content learns that it is accepted
    Given a control replica whose register holds version 3 as "x"
    When another replica sends an exchange with version 3 as "x"
    Then the control replica serves version 3
    And the control replica starts no early exchange

  Scenario Outline: A replica that has other content requests the file at once
    Given a control replica whose register holds version 3 as "x"
    When another replica sends an exchange with version <version> as "<text>"
    Then the control replica serves version 0
    And the control replica starts an exchange at once

    Examples:
      | version | text |
      | 3       | y    |
      | 4       | x    |

  # Guards against a patch that was accepted on a version that lost: the request
  # is the same as the one that was decided, the configuration is another one.
  Scenario: A replica that patched another version requests the file at once
    Given a control replica whose register holds version 3 as "x"
    When another replica sends an exchange with version 3 as "y", from the same request
    Then the control replica serves version 0
    And the control replica starts an exchange at once

  Scenario: An exchange with an older version changes nothing
    Given a control replica whose register holds version 3 as "x"
    When another replica sends an exchange with version 3 as "x"
    And another replica sends an exchange with version 2 as "w"
    Then the control replica serves version 3
    And the control replica starts no early exchange

  Scenario Outline: Long messages are compressed, short ones are not
    Given a control message of <size> equal bytes
    Then sealed as a request and as a reply it takes <most> bytes at most
    And it is unchanged after opening

    Examples:
      | size    | most |
      | 0       | 49   |
      | 399     | 448  |
      | 400     | 100  |
      | 1000000 | 6000 |

  Scenario Outline: A sealed message that can't be decompressed is refused
    Given a sealed request whose compressed payload is <content>
    Then opening it is refused

    Examples:
      | content             |
      | truncated           |
      | not compressed      |
      | over the size limit |
