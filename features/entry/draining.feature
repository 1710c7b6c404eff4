Feature: An entry that drains answers the requests that it can't complete

  Scenario Outline: A request that is not complete at the drain limit is answered: <class>
    Given an entry in the test process with endpoint "a" that accepts and waits
    When its drain limit passes while a caller's request of class "<class>" waits for an answer
    Then the answer has status <status> and code "<code>"
    And its outcome is "unknown"
    And endpoint "a" is sent a cancel

    Examples:
      | class    | status | code            |
      | question | 503    | shutting_down   |
      | intake   | 502    | outcome_unknown |

  Scenario: A request that is not offered before the drain limit is answered as not run
    Given an entry in the test process with endpoint "a" that answers
    When its drain limit passes while a caller's request of class "intake" waits for a ticket
    Then the answer has status 503 and code "shutting_down"
    And its outcome is "not-run" and its caller may retry after 1 s to 10 s
    And endpoint "a" was offered 0 attempts

  Scenario: A stream that is not complete at the drain limit ends with an error
    Given an entry in the test process with endpoint "a" that sends a chunk and waits
    When its drain limit passes while a caller's stream is in progress
    Then the stream ends with an error of outcome "unknown" and without "[DONE]"
