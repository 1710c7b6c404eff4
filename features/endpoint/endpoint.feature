Feature: The endpoint process
  It controls all access to its engine: it schedules, starts and cancels attempts,
  retains their answers, and reports reliably which attempts have run.

  Scenario: An attempt that is cancelled before it starts never starts
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 40 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered
    And attempt "b" is cancelled
    Then "b" is confirmed as not run
    When attempt "c" is cancelled
    Then "c" is confirmed as not run
    When attempt "b" of class "question" for 4 tokens is offered
    And attempt "c" of class "question" for 4 tokens is offered
    Then "b" is refused as "cancelled-before"
    And "c" is refused as "cancelled-before"
    And "a" returns its complete text
    And the engine has run only "a"

  Scenario: An attempt that ran is never confirmed as not run
    Given an endpoint process with 1 slot that retains answers for 0 seconds
    When attempt "a" of class "question" for 4 tokens is offered
    Then "a" returns its complete text
    And the endpoint process has removed "a"
    When attempt "a" is cancelled
    Then "a" is confirmed as run

  Scenario: A cancelled attempt stops at the engine
    Given an endpoint process with 1 slot
    When attempt "a" of class "summary" for 4000 tokens is offered
    And 2 chunks of "a" have arrived
    And attempt "a" is cancelled
    Then "a" is confirmed as run
    And the engine has cancelled "a"

  Scenario: The connection of a cancelled attempt is closed even if the engine is silent
    Given an endpoint process for an engine that never answers
    When attempt "a" of class "question" for 4 tokens is offered
    And the engine has been sent 1 request
    And attempt "a" is cancelled
    Then "a" is confirmed as run
    And the connection to the engine is closed within a second

  Scenario: An answer is resumed on a new stream
    Given an endpoint process with 2 slots
    When attempt "a" of class "question" for 60 tokens is offered
    And 5 chunks of "a" have arrived
    And the stream disconnects and another is opened
    And "a" is resumed from the next chunk
    Then "a" returns its complete text
    And the engine has run only "a"

  Scenario: An attempt without any stream is cancelled after a timeout
    Given an endpoint process with 1 slot and a silence timeout of 0.1 seconds
    When attempt "a" of class "summary" for 4000 tokens is offered
    And 2 chunks of "a" have arrived
    And the stream disconnects
    Then the engine has cancelled "a"

  Scenario: An unknown attempt cannot be resumed
    Given an endpoint process with 1 slot
    When "a" is resumed from the next chunk
    Then "a" is refused as "attempt-unknown"

  Scenario: An attempt without credit does not block other attempts
    Given an endpoint process with 2 slots
    When attempt "a" of class "question" for 30 tokens is offered with credit 1
    And attempt "b" of class "question" for 60 tokens is offered
    Then "b" returns its complete text
    And 1 chunk of "a" has arrived in total
    When "a" receives credit
    Then "a" returns its complete text

  Scenario: Two concurrent offers with the same ticket run once
    Given an endpoint process with 2 slots
    When a ticket is fetched
    And attempt "a" of class "record" for 20 tokens is offered with the ticket
    And attempt "b" of class "record" for 20 tokens is offered with the ticket on another stream
    Then "a" returns its complete text
    And "b" returns the complete text of "a"
    And the engine has run only "a"

  Scenario: A non-repeatable attempt needs a ticket of this incarnation
    Given an endpoint process with 2 slots
    When attempt "a" of class "record" for 4 tokens is offered
    And a ticket of another incarnation is created
    And attempt "b" of class "record" for 4 tokens is offered with the ticket
    Then "a" is refused as "ticket-invalid"
    And "b" is refused as "ticket-invalid"
    And the engine has run nothing

  Scenario: A ticket whose attempt was confirmed as not run never runs
    Given an endpoint process with 1 slot
    When a ticket is fetched
    And attempt "a" of class "question" for 40 tokens is offered
    And attempt "b" of class "record" for 4 tokens is offered with the ticket
    And attempt "b" is cancelled
    Then "b" is confirmed as not run
    When attempt "c" of class "record" for 4 tokens is offered with the ticket
    Then "c" is refused as "cancelled-before"
    And "a" returns its complete text
    And the engine has run only "a"

  Scenario: A ticket whose attempt was refused never runs
    Given an endpoint process with 1 slot
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket and a deadline of 0 seconds
    Then "a" is refused as "deadline"
    When attempt "b" of class "record" for 4 tokens is offered with the ticket
    Then "b" is refused as "cancelled-before"
    And the engine has run nothing

  Scenario: A used ticket whose record was dropped is never refused as not run
    Given an endpoint process with 1 slot
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket
    Then "a" returns its complete text
    When the endpoint process has dropped the record of the ticket
    And attempt "b" of class "record" for 4 tokens is offered with the ticket and a deadline of 0 seconds
    Then "b" ends as "unknown"
    And the engine has run only "a"

  Scenario Outline: Replies about a ticket's attempt are consistent after its answer is discarded
    Given an endpoint process with 1 slot and a clock that the test advances
    When a ticket is fetched
    And attempt "a" of class "record" for 60 tokens is offered with the ticket
    And the answer of "a" is <state>
    And "a" is resumed from the next chunk
    Then "a" is refused as "<reason>"
    When attempt "a" is cancelled
    Then "a" is confirmed as run
    When attempt "b" of class "record" for 60 tokens is offered with the ticket
    Then "b" ends as "unknown"
    And the engine has run only "a"

    Examples:
      | state     | reason           |
      | discarded | answer-discarded |
      | removed   | attempt-unknown  |

  Scenario: A cancellation is not confirmed as not run when the tombstone table is full
    Given an endpoint process with 1 slot
    And its tombstone table has no capacity
    When attempt "a" of class "question" for 40 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered
    And attempt "b" is cancelled
    And attempt "c" is cancelled
    Then "b" is confirmed as run
    And "c" is confirmed as run

  Scenario: An answer that has started is not aborted at its deadline
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 100 tokens is offered without a ticket and with a deadline of 0.5 seconds
    Then "a" returns its complete text

  Scenario: An attempt whose deadline passes while it waits ends immediately
    Given an endpoint process with 1 slot
    When 10 attempts of class "question" for 4 tokens have ended
    And a ticket for class "question" is fetched
    And attempt "a" of class "question" for 90 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered with the ticket and a deadline of 0.5 seconds
    Then "b" ends as "not-run"
    And "b" has a retry delay above 0 s
    When attempt "c" of class "question" for 4 tokens is offered with the ticket
    Then "c" is refused as "cancelled-before"
    And "a" returns its complete text
    And the engine has run only "a"

  Scenario: A cancel that arrives as the engine's response ends is confirmed
    Given an endpoint process with 2 slots
    When attempt "a" of class "question" for 4 tokens is offered and cancelled as its transfer ends
    Then "a" is confirmed as run
    When attempt "b" of class "question" for 4 tokens is offered
    Then "b" returns its complete text

  Scenario: An attempt reported as not run never ran, and a ticket runs once
    Given an endpoint process with 1 slot and a clock that the test advances
    When random sequences of offers, cancels, disconnects and resumes are run
    Then every attempt's outcome matches what the engine ran

  Scenario: A non-repeatable attempt continues after its stream disconnects
    Given an endpoint process with 1 slot and a silence timeout of 0.1 seconds
    When a ticket is fetched
    And attempt "a" of class "record" for 150 tokens is offered with the ticket
    And 2 chunks of "a" have arrived
    And the stream disconnects
    Then the engine has finished "a"
    When a stream is opened
    And attempt "b" of class "record" for 150 tokens is offered with the ticket
    Then "b" returns the complete text of "a"
    And the engine has run only "a"

  Scenario: A request is never repeated after the engine closed its connection
    Given an endpoint process for an engine that closes connections
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket
    Then "a" ends as "unknown"
    When attempt "b" of class "record" for 4 tokens is offered with the ticket
    Then "b" ends as "unknown"
    And the engine has been sent 1 request

  Scenario: A request that cannot have reached the engine did not run
    Given an endpoint process for an engine that is down
    When attempt "a" of class "question" for 4 tokens is offered
    Then "a" ends as "not-run"
    When attempt "b" of class "question" for 4 tokens is offered
    Then "b" is refused as "engine-unavailable"

  Scenario: An engine that stops responding is detected
    Given an endpoint process with 1 slot and a silence timeout of 0.1 seconds
    When attempt "a" of class "question" for 400 tokens is offered
    And 2 chunks of "a" have arrived
    And the engine stops responding
    Then "a" ends as "unknown"
    And the log has the event "engine-silent"

  Scenario: An urgent attempt preempts one of a lower-priority class, which then resumes
    Given an endpoint process with 1 slot
    When attempt "a" of class "summary" for 60 tokens is offered
    And 2 chunks of "a" have arrived
    And attempt "b" of class "question" for 10 tokens is offered
    Then "b" returns its complete text
    And "a" returns its complete text
    And the log has the decisions "start pause start resume"

  Scenario: A drain waits until accepted attempts are finished
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 30 tokens is offered
    And attempt "b" of class "question" for 30 tokens is offered
    And 2 chunks of "a" have arrived
    And the endpoint process drains
    Then the stream reports that the endpoint is leaving
    When attempt "c" of class "question" for 4 tokens is offered
    Then "c" is refused as "leaving"
    And "a" returns its complete text
    And "b" returns its complete text
    And the drain ends with no unfinished attempt

  Scenario: A cancel does not stop an answer that another entry process has resumed
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 60 tokens is offered
    And 2 chunks of "a" have arrived
    And another entry process resumes "a" from chunk 0
    Then the first entry process is notified that another one has resumed "a"
    When the first entry process cancels "a"
    Then "a" returns its complete text
    And each chunk of "a" is one event

  Scenario: Offers are refused when the host list marks this host as leaving
    Given an endpoint process with 1 slot
    When the host list marks the host as leaving
    And attempt "a" of class "question" for 4 tokens is offered
    Then the stream reports that the endpoint is leaving
    And "a" is refused as "leaving"

  Scenario: A process that was paused starts no waiting attempt until it is resumed
    Given an endpoint process with 1 slot and a silence timeout of 0.1 seconds
    When attempt "a" of class "question" for 30 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered
    And attempt "c" of class "question" for 4 tokens is offered
    And 2 chunks of "a" have arrived
    And the endpoint process is paused and continues
    Then the stream is closed
    And the engine has finished "a"
    When a stream is opened
    And "c" is resumed from the next chunk
    Then "c" returns its complete text
    And the endpoint process has ended "b" as "not-run"
    And the engine has run only "a c"

  Scenario: A silent stream is closed and an active one is kept
    Given an endpoint process with 1 slot and a silence timeout of 0.1 seconds
    When only a second stream sends heartbeats
    Then the stream is closed
    And the second stream has received a heartbeat reply

  Scenario: A newer revision that a peer announces is requested
    Given an endpoint process with 1 slot
    When a heartbeat announces revision 7
    Then the endpoint process requests the sections of the revision

  Scenario: A plain service receives the request unchanged and its reply is complete
    Given an endpoint process for a plain service
    When a plain call "a" is offered
    Then "a" returns the service's reply

  Scenario: Retained answers stay within their memory and retention limits
    Given random answers of random sizes
    When they are retained in sequence
    Then memory and retention are bounded and unfinished answers are discarded last

  Scenario: Characters that are split between reads are decoded in their own answer
    When two answers are parsed alternately, one byte at a time
    Then each event equals the one that was sent
