Feature: Links authenticate both ends, enforce limits and survive invalid frames

  Scenario Outline: A link is refused when <reason>
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a link to daemon "<wanted>" opens with the key "<key>"
    Then the link is refused with "<error>"
    And the listener ran 0 attempts

    Examples:
      | reason                                | wanted | key              | error                                   |
      | the client has another cluster key    | b      | another byte key | the peer does not hold the cluster key  |
      | the address belongs to another daemon | a      | sixteen byte key | closed                                  |

  Scenario Outline: Only the affected link is closed after <frames>
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a raw connection sends <frames>
    Then the listener closes the connection and counts "<end>"
    And the listener ran 0 attempts
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then an attempt over the link is answered

    Examples:
      | frames                             | end              |
      | an attempt before the handshake    | unproven         |
      | a hello and an invalid proof       | unproven         |
      | a frame larger than the limit      | bad-frame        |
      | a frame that fails to decode       | bad-frame        |
      | a second hello after the handshake | unexpected-frame |

  Scenario: Large frames pass, and the limits on attempts and links are enforced
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then an attempt of 60 MB and one of 1 byte over the link are answered
    And the attempt after 3 pending ones is refused at the step "send"
    And the third link to the listener is refused

  Scenario: Links over TLS require a certificate of the trusted authority
    Given a link listener of daemon "b" over TLS
    When a link to daemon "b" opens over TLS
    Then an attempt over the link is answered
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then the link is refused with any error
    When a link to daemon "b" opens over TLS with a certificate of another authority
    Then the link is refused with any error
    When a link to daemon "b" opens over TLS without a certificate
    Then the link is refused with any error
