Feature: Overload of all upstreams of a service

  Clients load two services to 0.8 of their capacity. Service a makes nested
  calls to b. The same load runs without and with overload control; without
  it, calls that can't be in time any more wait until their deadline or take
  slots from calls that could be in time.

  Scenario Outline: Work that can't end in time gives way at once
    Given two services whose <load> from 2 to 6 s
    When their clients call for 9 s without and with overload control
    Then as many calls are in time with overload control as without
    And at most half as many answers are late
    And most refusals come within 0.1 s, without it after 1 s or more

    Examples:
      | load                              |
      | clients send 2.2 times more calls |
      | calls take 2.0 times longer       |

  Scenario: A burst of long calls leaves the short ones in time
    Given two services whose clients send 2.2 times more long calls from 2 to 6 s
    When their clients call for 9 s without and with overload control
    Then at least 0.97 of the short calls are in time with overload control, and none is answered late

  Scenario: A route that can't meet its objective is served beside others
    Given an upstream of 1 slot that runs a call
    Then a call that needs longer than its objective may wait there
    And it is refused at once after calls were refused for overload
