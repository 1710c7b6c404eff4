Feature: Outcomes of requests

  Scenario Outline: A repeatable request is tried elsewhere
    Given an entry with endpoint "a" that <behaviour>
    And endpoint "b" that answers
    When 8 callers send whole chats with different prompts
    Then every answer's text is "abc" and its outcome is "done"
    And endpoint "a" was offered 1 attempt or more

    Examples:
      | behaviour                  |
      | refuses                    |
      | accepts and goes           |
      | begins and goes            |
      | ends with a wrong checksum |

  Scenario Outline: A request that every endpoint refuses did not run
    Given an entry with endpoint "a" that refuses
    And endpoint "b" that refuses
    And endpoint "c" that refuses
    And endpoint "d" that refuses
    When a caller sends a whole chat of class "<class>"
    Then the answer has status 429 and code "overloaded"
    And its outcome is "not-run" and its caller may return in 4 s to 6 s
    And the endpoints were offered <count> attempts in all

    Examples: The highest tier asks every endpoint, others three at most
      | class    | count |
      | summary  | 3     |
      | question | 4     |

  Scenario: A request that was shed while it waited is told when to come back
    Given an entry with endpoint "a" that sheds
    When a caller sends a whole chat
    Then the answer has status 429 and code "overloaded"
    And its outcome is "not-run" and its caller may return in 4 s to 6 s

  Scenario Outline: A given-up request is said not to have run only on proof
    Given an entry with endpoint "a" that accepts and waits
    And endpoint "a" answers a cancel with <cancelled>
    When a caller sends a whole chat of class "quick"
    Then the answer has status 503 and code "deadline_exceeded"
    And its outcome is "<outcome>"

    Examples:
      | cancelled | outcome |
      | not run   | not-run |
      | ran       | unknown |
      | nothing   | unknown |

  Scenario: A process that was started again proves nothing of the one before it
    Given an entry with endpoint "a" that accepts and restarts
    When a caller sends a whole chat
    Then its outcome is "unknown"
    And endpoint "a" is sent no cancel

  Scenario: An endpoint that is leaving is offered nothing more
    Given an entry with endpoint "a" that answers
    And endpoint "b" that answers
    When endpoint "a" says that it is leaving
    And 8 callers send whole chats with different prompts
    Then every answer's text is "abc" and its outcome is "done"
    And endpoint "a" was offered 0 attempts

  Scenario Outline: A non-repeatable request without a ticket is not run
    Given an entry with endpoint "a" that answers
    When a caller sends class "ledger" a whole chat with key "<key>"
    Then the answer has status 428 and code "ticket_required"
    And its outcome is "not-run"
    And endpoint "a" was offered 0 attempts
    When the caller sends it again with the ticket that it was given
    Then the answer's text is "abc" and its outcome is "done"

    Examples:
      | key     |
      |         |
      | foreign |

  Scenario: A ticket of an incarnation that is gone is not used elsewhere
    Given an entry with endpoint "a" that answers
    And endpoint "b" that answers
    And the caller has a ticket of an earlier incarnation of "a"
    When the caller sends it again with the ticket that it was given
    Then the answer has status 409 and code "ticket_incarnation_gone"
    And its outcome is "unknown"
    And the endpoints were offered 0 attempts in all

  Scenario Outline: A refused ticket is said not to have run only if the ticket was ruled out
    Given an entry with endpoint "a" that refuses
    And endpoint "a" refuses as "<reason>"
    When a caller fetches a ticket for class "ledger"
    And the caller sends it again with the ticket that it was given
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

  Scenario: A ticket that was taken for a request that did not run is not named
    Given an entry with endpoint "a" that refuses
    When a caller sends a whole chat of class "intake"
    Then its outcome is "not-run" and it names no ticket

  Scenario: A non-repeatable request is not tried again when its endpoint is lost
    Given an entry with endpoint "a" that accepts and goes
    And endpoint "b" that accepts and goes
    When a caller sends a whole chat of class "intake"
    Then the answer has status 502 and code "outcome_unknown"
    And its outcome is "unknown" and it names a ticket
    And the endpoints were offered 1 attempts in all

  Scenario: Drain finishes the answers that have begun
    Given an entry in this process with endpoint "a" that begins and waits
    When it drains while a caller's answer is under way
    Then it is not ready, and ends only after the answer is whole

  Scenario: A ticket counts also in a class that may be repeated
    Given an entry with endpoint "a" that accepts and goes
    And endpoint "b" that accepts and goes
    When a caller fetches a ticket for class "question"
    And the caller sends it with that ticket in class "question"
    Then its outcome is "unknown"
    And the endpoints were offered 1 attempts in all

  Scenario: Drain waits for a caller that reads its whole answer late
    Given an entry in this process with endpoint "a" that answers
    When it drains while a caller has not read its whole answer of 4 MB
    Then it ends only after that caller has read all of it

  Scenario: A ticket may be fetched ahead
    Given an entry with endpoint "a" that answers
    When a caller fetches a ticket for class "ledger"
    And the caller sends it again with the ticket that it was given
    Then the answer's text is "abc" and its outcome is "done"

  Scenario: A process that was paused offers nothing before it has new streams
    Given an entry in this process with endpoint "a" that answers
    When its clock shows that it was paused for 5 s
    Then it has no usable endpoint until it has opened a new stream
