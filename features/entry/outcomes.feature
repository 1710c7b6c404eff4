Feature: Outcomes of requests

  Scenario Outline: A repeatable request is retried at another endpoint
    Given an entry with endpoint "a" that <behaviour>
    And endpoint "b" that answers
    When 8 callers send non-streamed chat requests with different prompts
    Then every answer's text is "abc" and its outcome is "done"
    And endpoint "a" was offered at least 1 attempt

    Examples:
      | behaviour                    |
      | refuses                      |
      | accepts and terminates       |
      | sends a chunk and terminates |
      | ends with a wrong checksum   |

  Scenario Outline: A request that every endpoint refuses is reported as not run
    Given an entry with endpoint "a" that refuses
    And endpoint "b" that refuses
    And endpoint "c" that refuses
    And endpoint "d" that refuses
    When a caller sends a non-streamed chat request of class "<class>"
    Then the answer has status 429 and code "overloaded"
    And its outcome is "not-run" and its caller may retry after 4 s to 6 s
    And the endpoints were offered <count> attempts in total

    Examples: The highest tier tries every endpoint, others at most three
      | class    | count |
      | summary  | 3     |
      | question | 4     |

  Scenario: A request that is shed while queued gets a retry delay
    Given an entry with endpoint "a" that sheds
    When a caller sends a non-streamed chat request
    Then the answer has status 429 and code "overloaded"
    And its outcome is "not-run" and its caller may retry after 4 s to 6 s

  Scenario Outline: A timed-out request is reported as not run only after confirmation
    Given an entry with endpoint "a" that accepts and waits
    And endpoint "a" replies to a cancel with <cancelled>
    When a caller sends a non-streamed chat request of class "quick"
    Then the answer has status 503 and code "deadline_exceeded"
    And its outcome is "<outcome>"

    Examples:
      | cancelled | outcome |
      | not run   | not-run |
      | ran       | unknown |
      | nothing   | unknown |

  Scenario: A restarted process does not confirm that an earlier attempt did not run
    Given an entry with endpoint "a" that accepts and restarts
    When a caller sends a non-streamed chat request
    Then its outcome is "unknown"
    And endpoint "a" is sent no cancel

  Scenario: A leaving endpoint is offered no more attempts
    Given an entry with endpoint "a" that answers
    And endpoint "b" that answers
    When endpoint "a" announces that it is leaving
    And 8 callers send non-streamed chat requests with different prompts
    Then every answer's text is "abc" and its outcome is "done"
    And endpoint "a" was offered 0 attempts

  Scenario: An endpoint that begins to leave while its stream is closed is offered no more attempts
    Given an entry with endpoint "a" that answers
    And endpoint "b" that answers
    When endpoint "a" closes its streams and announces that it is leaving
    And 8 callers send non-streamed chat requests with different prompts
    Then every answer's text is "abc" and its outcome is "done"
    And endpoint "a" was offered 0 attempts

  Scenario Outline: A non-repeatable request without a ticket is not run
    Given an entry with endpoint "a" that answers
    When a caller sends key "<key>" with a non-streamed chat request of class "ledger"
    Then the answer has status 428 and code "ticket_required"
    And its outcome is "not-run"
    And endpoint "a" was offered 0 attempts
    When the caller sends the request with its ticket
    Then the answer's text is "abc" and its outcome is "done"

    Examples:
      | key     |
      |         |
      | foreign |

  Scenario: A ticket from a terminated incarnation is not used at another endpoint
    Given an entry with endpoint "a" that answers
    And endpoint "b" that answers
    And the caller has a ticket from an earlier incarnation of endpoint "a"
    When the caller sends the request with its ticket
    Then the answer has status 409 and code "ticket_incarnation_gone"
    And its outcome is "unknown"
    And the endpoints were offered 0 attempts in total

  Scenario Outline: A refused request with a ticket is reported as not run only on a conclusive reason
    Given an entry with endpoint "a" that refuses
    And endpoint "a" refuses with reason "<reason>"
    When a caller requests a ticket for class "ledger"
    And the caller sends the request with its ticket
    Then the answer has status <status> and code "<code>"
    And its outcome is "<outcome>"

    Examples:
      | reason           | status | code            | outcome |
      | ticket-invalid   | 502    | outcome_unknown | unknown |
      | answer-discarded | 502    | outcome_unknown | unknown |
      | attempt-unknown  | 502    | outcome_unknown | unknown |
      | ticket-expired   | 409    | ticket_refused  | not-run |
      | cancelled-before | 409    | ticket_refused  | not-run |
      | overloaded       | 429    | overloaded      | not-run |

  Scenario: A ticket issued for a request that did not run is not returned
    Given an entry with endpoint "a" that refuses
    When a caller sends a non-streamed chat request of class "intake"
    Then its outcome is "not-run" and the answer contains no ticket

  Scenario: A non-repeatable request is not retried when its endpoint is lost
    Given an entry with endpoint "a" that accepts and terminates
    And endpoint "b" that accepts and terminates
    When a caller sends a non-streamed chat request of class "intake"
    Then the answer has status 502 and code "outcome_unknown"
    And its outcome is "unknown" and the answer contains a ticket
    And the endpoints were offered 1 attempts in total

  Scenario: A drain finishes the answers in progress
    Given an entry in the test process with endpoint "a" that sends a chunk and waits
    When it drains while a caller's answer is in progress
    Then it is not ready, and the drain ends only after the answer is complete

  Scenario: A ticket is also honoured for a repeatable class
    Given an entry with endpoint "a" that accepts and terminates
    And endpoint "b" that accepts and terminates
    When a caller requests a ticket for class "question"
    And the caller sends the request with its ticket in class "question"
    Then its outcome is "unknown"
    And the endpoints were offered 1 attempts in total

  Scenario: Drain waits for a caller that reads its whole answer late
    Given an entry in the test process with endpoint "a" that answers
    When it drains while a caller has an unread answer of 4 MB
    Then the drain ends only after that caller has read the complete answer

  Scenario: A ticket may be requested before the request
    Given an entry with endpoint "a" that answers
    When a caller requests a ticket for class "ledger"
    And the caller sends the request with its ticket
    Then the answer's text is "abc" and its outcome is "done"

  Scenario: A paused process offers no attempts before it has opened new streams
    Given an entry in the test process with endpoint "a" that answers
    When its clock shows a pause of 5 s
    Then it has no usable endpoint until it has opened a new stream
