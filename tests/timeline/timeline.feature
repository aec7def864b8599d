Feature: Events of all processes are merged into one timeline in causal order

  Scenario: A process whose wall clock is behind records effects after causes
    Given timeline clocks "a" at 100 and "b" at 40
    When the timeline process "a" records "attempt-started" and its stamp reaches "b"
    And the timeline process "b" records "attempt-finished"
    Then the merged timeline is "a attempt-started, b attempt-finished"

  Scenario: A link carries the clock with every frame
    Given timeline clocks "a" at 100 and "b" at 40
    When a frame of the timeline process "a" after "attempt-sent" reaches "b"
    And the timeline process "b" records "attempt-started"
    Then the merged timeline is "a attempt-sent, b attempt-started"
    When a peer sends "a" a frame stamped with the highest count
    Then the timeline process "a" still sends frames in order

  Scenario: A stamp from far in the future does not move other clocks
    Given timeline clocks "a" at 90000000000 and "b" at 40
    When the timeline process "a" records "link-opened" and its stamp reaches "b"
    And the timeline process "b" records "link-closed"
    Then the merged timeline is "b link-closed, a link-opened"
    And the timeline clock "b" has ignored 1 stamp

  Scenario: An event ring is bounded and reports overwritten events
    Given timeline clocks "a" at 100 and "b" at 40
    When the timeline process "a" records 5000 events
    Then its first page has 1000 events, more to come, 904 overwritten and a gap
    And paging through it gives 4096 events in order
    And its page since the last event has 0 events, no more to come, 904 overwritten and no gap

  Scenario: A burst of calls does not overwrite state changes
    Given timeline clocks "a" at 100 and "b" at 40
    When the timeline process "a" records "quorum-lost"
    And the timeline process "a" records 5000 events of calls
    Then its first event is "quorum-lost"
    And paging through it gives 4096 events in order

  Scenario Outline: An event query with an invalid parameter is refused
    Then the timeline query "<query>" is refused with "<reason>"

    Examples:
      | query             | reason                                |
      | colour=red        | colour: is not a known parameter      |
      | limit=1&limit=2   | limit: stands twice                   |
      | limit=0           | limit: must be from 1 to 1000         |
      | limit=1001        | limit: must be from 1 to 1000         |
      | limit=٣           | limit: must be from 1 to 1000         |
      | since=1           | since: must be NANOSECONDS.COUNT      |
      | since=-1.0        | since: must be NANOSECONDS.COUNT      |
      | until=1.x         | until: must be NANOSECONDS.COUNT      |
      | kind=gossip       | kind: not known: gossip               |

  Scenario Outline: Timestamps are parsed
    Then the timestamp "<text>" at 1000000 s is <seconds> s

    Examples:
      | text                      | seconds |
      | 90s                       | 999910  |
      | 5m                        | 999700  |
      | 1d                        | 913600  |
      | 1970-01-02T00:00:00       | 86400   |
      | 1970-01-02T01:00:00+01:00 | 86400   |
      | soon                      | invalid |
      | 5                         | invalid |
      | 1969-01-01                | invalid |

  Scenario: The page has a lane for each process and runs only its own script
    Given a timeline page with hostile names and details
    Then the page has the lanes "</script><img src=x onerror=alert(1)>, dQUOTE2"
    And the page has 3 events, of which 2 belong to one call
    And the page loads nothing and runs only its own script

  Scenario Outline: An invalid query is reported in one line
    When the operator types "timeline <flags>"
    Then the program exits with <code> and writes "<error>" to stderr

    Examples:
      | flags                                | code | error                                           |
      | --since soon                         | 2    | timeline: --since: 'soon' is neither            |
      | --kind gossip --until later          | 2    | --until: 'later' is neither                     |
      | --kind gossip --until later          | 2    | --kind: not known: gossip                       |
      | --follow --html x.html               | 2    | cannot --follow                                 |
      | --since 1m --until 2m                | 2    | --since must be before --until                  |
      | --control-admin a=127.0.0.1:1        | 3    | timeline: control: no replica answers           |

  Scenario: Overwritten events and failed requests are reported
    Given a stub replica "a" that answers "GET /v1/events" with 200 application/json {"process":"a","overwritten":7,"gap":true,"more":false,"events":[{"time":[5,0],"process":"a","kind":"link-opened"}]}
    And the stub replica "a" reports version 1 with a quorum and the daemons "d1 at 1"
    And a stub replica "b" that answers "GET /v1/events" with 200 application/json [1]
    When the operator types "timeline"
    Then the program exits with 0 and prints "a                link-opened"
    And the program writes "timeline: a: older events were overwritten (7 since its start)" to stderr
    And the program writes "timeline: b: invalid response body" to stderr
    And the program writes "timeline: d1: advertises no admin address" to stderr
    Given a stub replica "b" that answers "GET /v1/events" with 200 application/json {"process":"b","overwritten":0,"gap":false,"more":true,"events":[{"time":[5,0],"process":"b","kind":"link-closed"}]}
    When the operator types "timeline"
    Then the program exits with 0 and prints "b                link-closed"
    And the program writes "timeline: b: sent events out of order" to stderr
    When the operator types "timeline --html /nowhere/page.html"
    Then the program exits with 2 and writes "timeline: /nowhere/page.html: No such file or directory" to stderr

  Scenario: One call is shown from its entry to the upstream and back
    Given a deployment with 1 job-sheets, 1 work-orders
    And the file "examples/cedarline.toml" is in force everywhere
    When a client sends GET "/job-sheets/sheets/17" through "work-orders-0"
    And the operator requests the timeline of that call
    Then the events of the timeline are "work-orders-0 call-received, work-orders-0 attempt-sent, job-sheets-0 attempt-started, job-sheets-0 attempt-finished, work-orders-0 call-answered"
    When the operator requests the timeline of "--process work-orders-0 --kind state-change"
    Then the events of the timeline are "work-orders-0 state-change"
    When the operator requests the timeline of "--service job-sheets --kind call-answered,call-refused"
    Then the events of the timeline are "work-orders-0 call-answered"
    When the operator requests the timeline of "--process job-sheets-0 --kind link-opened"
    Then the events of the timeline are "job-sheets-0 link-opened"
    When the operator follows the timeline for a moment
    Then each event is shown once and in causal order
    When the operator writes the timeline page
    Then the page has a lane for each process of the deployment
    When the daemon "job-sheets-0" is killed and the timeline is requested
    Then the timeline reports that "job-sheets-0" was not reached

  Scenario: A call is explained although a field of its log lines is a list
    When a log line of call "c7" has the list ["u1", "u2"] in the field "peers"
    Then the trace of the call shows "peers ['u1', 'u2']"
