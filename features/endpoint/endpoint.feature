Feature: The endpoint process
  It is the sole door to its engine: it orders, starts and stops attempts, retains
  their answers, and says truly what ran.

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
    And "a" brings its whole text
    And the engine has run only "a"

  Scenario: An attempt that ran is never confirmed as not run
    Given an endpoint process with 1 slot that retains answers for 0 seconds
    When attempt "a" of class "question" for 4 tokens is offered
    Then "a" brings its whole text
    And the endpoint process has forgotten "a"
    When attempt "a" is cancelled
    Then "a" is confirmed as run

  Scenario: A cancelled attempt stops at the engine
    Given an endpoint process with 1 slot
    When attempt "a" of class "summary" for 4000 tokens is offered
    And 2 chunks of "a" have arrived
    And attempt "a" is cancelled
    Then "a" is confirmed as run
    And the engine has cancelled "a"

  Scenario: The transfer of a cancelled attempt is closed even if the engine is silent
    Given an endpoint process before an engine that never answers
    When attempt "a" of class "question" for 4 tokens is offered
    And the engine has been sent 1 request
    And attempt "a" is cancelled
    Then "a" is confirmed as run
    And the connection to the engine is closed within a second

  Scenario: An answer goes on over a new stream
    Given an endpoint process with 2 slots
    When attempt "a" of class "question" for 60 tokens is offered
    And 5 chunks of "a" have arrived
    And the stream is lost and another is opened
    And "a" is resumed from the next chunk
    Then "a" brings its whole text
    And the engine has run only "a"

  Scenario: Nobody's answer is generated for long
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When attempt "a" of class "summary" for 4000 tokens is offered
    And 2 chunks of "a" have arrived
    And the stream is lost
    Then the engine has cancelled "a"

  Scenario: An attempt that nobody knows cannot be resumed
    Given an endpoint process with 1 slot
    When "a" is resumed from the next chunk
    Then "a" is refused as "attempt-unknown"

  Scenario: A caller that gives no credit stalls only itself
    Given an endpoint process with 2 slots
    When attempt "a" of class "question" for 30 tokens is offered with credit 1
    And attempt "b" of class "question" for 60 tokens is offered
    Then "b" brings its whole text
    And 1 chunk of "a" has come in all
    When "a" is given credit
    Then "a" brings its whole text

  Scenario: A ticket that is offered twice at once runs once
    Given an endpoint process with 2 slots
    When a ticket is fetched
    And attempt "a" of class "record" for 20 tokens is offered with the ticket
    And attempt "b" of class "record" for 20 tokens is offered with the ticket on another stream
    Then "a" brings its whole text
    And "b" brings the whole text of "a"
    And the engine has run only "a"

  Scenario: A non-repeatable attempt needs a ticket of this incarnation
    Given an endpoint process with 2 slots
    When attempt "a" of class "record" for 4 tokens is offered
    And a ticket of another incarnation is at hand
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
    And "a" brings its whole text
    And the engine has run only "a"

  Scenario: A ticket whose attempt was refused never runs
    Given an endpoint process with 1 slot
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket and 0 seconds left
    Then "a" is refused as "deadline"
    When attempt "b" of class "record" for 4 tokens is offered with the ticket
    Then "b" is refused as "cancelled-before"
    And the engine has run nothing

  Scenario: A used ticket that is not held any more is never refused as not run
    Given an endpoint process with 1 slot
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket
    Then "a" brings its whole text
    When the endpoint process has dropped the record of the ticket
    And attempt "b" of class "record" for 4 tokens is offered with the ticket and 0 seconds left
    Then "b" ends as "unknown"
    And the engine has run only "a"

  Scenario Outline: The word on a ticket's attempt agrees at every step of its life
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When a ticket is fetched
    And attempt "a" of class "record" for 60 tokens is offered with the ticket
    And the answer of "a" is <step>
    And "a" is resumed from the next chunk
    Then "a" is refused as "<reason>"
    When attempt "a" is cancelled
    Then "a" is confirmed as run
    When attempt "b" of class "record" for 60 tokens is offered with the ticket
    Then "b" ends as "unknown"
    And the engine has run only "a"

    Examples:
      | step      | reason           |
      | discarded | answer-discarded |
      | forgotten | attempt-unknown  |

  Scenario: No tombstone is left when the table is full, and nothing is confirmed
    Given an endpoint process with 1 slot
    And its table holds no tombstone
    When attempt "a" of class "question" for 40 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered
    And attempt "b" is cancelled
    And attempt "c" is cancelled
    Then "b" is confirmed as run
    And "c" is confirmed as run

  Scenario: An answer that has begun is not cut off at its deadline
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 100 tokens is offered without a ticket and 0.5 seconds left
    Then "a" brings its whole text

  Scenario: An attempt whose time runs out while it waits is answered at once
    Given an endpoint process with 1 slot
    When 10 attempts of class "question" for 4 tokens have ended
    And a ticket for class "question" is fetched
    And attempt "a" of class "question" for 90 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered with the ticket and 0.5 seconds left
    Then "b" ends as "not-run"
    And "b" may come back after a time above 0 s
    When attempt "c" of class "question" for 4 tokens is offered with the ticket
    Then "c" is refused as "cancelled-before"
    And "a" brings its whole text
    And the engine has run only "a"

  Scenario: What is said not to have run never ran, and a ticket runs once
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When any history of offers, cancels, losses and resumes is played
    Then every attempt's outcome agrees with what the engine ran

  Scenario: A non-repeatable attempt goes on without its caller
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When a ticket is fetched
    And attempt "a" of class "record" for 150 tokens is offered with the ticket
    And 2 chunks of "a" have arrived
    And the stream is lost
    Then the engine has finished "a"
    When a stream is opened
    And attempt "b" of class "record" for 150 tokens is offered with the ticket
    Then "b" brings the whole text of "a"
    And the engine has run only "a"

  Scenario: A request is never sent again after the engine dropped it
    Given an endpoint process before an engine that hangs up
    When a ticket is fetched
    And attempt "a" of class "record" for 4 tokens is offered with the ticket
    Then "a" ends as "unknown"
    When attempt "b" of class "record" for 4 tokens is offered with the ticket
    Then "b" ends as "unknown"
    And the engine has been sent 1 request

  Scenario: A request that cannot have reached the engine did not run
    Given an endpoint process before an engine that is down
    When attempt "a" of class "question" for 4 tokens is offered
    Then "a" ends as "not-run"
    When attempt "b" of class "question" for 4 tokens is offered
    Then "b" is refused as "engine-unavailable"

  Scenario: An engine that falls silent is noticed
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When attempt "a" of class "question" for 400 tokens is offered
    And 2 chunks of "a" have arrived
    And the engine falls silent
    Then "a" ends as "unknown"
    And the log has the event "engine-silent"

  Scenario: Urgent work takes the slot of lower work, which then goes on
    Given an endpoint process with 1 slot
    When attempt "a" of class "summary" for 60 tokens is offered
    And 2 chunks of "a" have arrived
    And attempt "b" of class "question" for 10 tokens is offered
    Then "b" brings its whole text
    And "a" brings its whole text
    And the log has the decisions "start pause start resume"

  Scenario: Draining cuts nothing off
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 30 tokens is offered
    And attempt "b" of class "question" for 30 tokens is offered
    And 2 chunks of "a" have arrived
    And the endpoint process drains
    Then the stream says that it is leaving
    When attempt "c" of class "question" for 4 tokens is offered
    Then "c" is refused as "leaving"
    And "a" brings its whole text
    And "b" brings its whole text
    And the drain ends with nothing cut off

  Scenario: An entry that has lost its caller does not stop an answer continued elsewhere
    Given an endpoint process with 1 slot
    When attempt "a" of class "question" for 60 tokens is offered
    And 2 chunks of "a" have arrived
    And another entry resumes "a" from chunk 0
    Then the first entry is told that "a" is continued elsewhere
    When the first entry cancels "a"
    Then "a" brings its whole text
    And each chunk of "a" is one event

  Scenario: The host list says that this host is leaving
    Given an endpoint process with 1 slot
    When the host list says that the host is leaving
    And attempt "a" of class "question" for 4 tokens is offered
    Then the stream says that it is leaving
    And "a" is refused as "leaving"

  Scenario: A process that was frozen starts nothing until it is asked again
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When attempt "a" of class "question" for 30 tokens is offered
    And attempt "b" of class "question" for 4 tokens is offered
    And attempt "c" of class "question" for 4 tokens is offered
    And 2 chunks of "a" have arrived
    And the endpoint process is frozen and woken
    Then the stream is closed
    And the engine has finished "a"
    When a stream is opened
    And "c" is resumed from the next chunk
    Then "c" brings its whole text
    And the endpoint process has ended "b" as "not-run"
    And the engine has run only "a c"

  Scenario: A silent stream is closed and a live one kept
    Given an endpoint process with 1 slot and 0.1 seconds of silence
    When only a second stream sends heartbeats
    Then the stream is closed
    And the second stream has been answered

  Scenario: A newer revision that a peer tells of is asked for
    Given an endpoint process with 1 slot
    When a heartbeat tells of revision 7
    Then the endpoint process asks for the sections of the revision

  Scenario: A plain service is called with any method and answers whole
    Given an endpoint process before a plain service
    When a plain call "a" is offered
    Then "a" brings the service's reply

  Scenario: Retained answers stay within their memory and time
    Given any answers of any size
    When they are retained one after another
    Then their memory and time are bounded and unfinished ones go last

  Scenario: Characters that are split between reads stay in their own answer
    When two answers are read in turn, one byte at a time
    Then each event reads as it was sent
