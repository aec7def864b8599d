Feature: Links prove both ends, bound what they carry and survive bad frames

  Scenario Outline: A link is not used when <reason>
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a link to daemon "<wanted>" opens with the key "<key>"
    Then the link is refused with "<error>"
    And the listener ran 0 attempts

    Examples:
      | reason                          | wanted | key              | error                                   |
      | the key of the client differs   | b      | another byte key | the peer does not hold the cluster key  |
      | the address belongs to another  | a      | sixteen byte key | closed                                  |

  Scenario Outline: <frames> end a link and nothing else
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a raw connection sends <frames>
    Then the listener closes it and counts "<end>"
    And the listener ran 0 attempts
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then an attempt over the link is answered

    Examples:
      | frames                         | end              |
      | an attempt before any proof    | unproven         |
      | a hello and a wrong proof      | unproven         |
      | a frame larger than the bound  | bad-frame        |
      | a frame that is no message     | bad-frame        |
      | a proven hello and then itself | unexpected-frame |

  Scenario: Bounds are kept with a clear refusal, and large frames pass
    Given a link listener of daemon "b" with the key "sixteen byte key"
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then an attempt of 60 MB and one of 1 byte over the link are answered
    And the attempt after 3 unanswered ones is refused at the step "send"
    And the third link to the listener is refused

  Scenario: Links over TLS take only holders of a certificate
    Given a link listener of daemon "b" over TLS
    When a link to daemon "b" opens over TLS
    Then an attempt over the link is answered
    When a link to daemon "b" opens with the key "sixteen byte key"
    Then the link is refused with any error
    When a link to daemon "b" opens over TLS of another authority
    Then the link is refused with any error
    When a link to daemon "b" opens over TLS without a certificate
    Then the link is refused with any error
