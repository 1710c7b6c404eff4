Feature: Logging that never delays a request

  Scenario: A stalled log reader blocks no write, and dropped lines are counted
    Given a log whose reader has stalled
    When 20000 lines are written
    Then no write blocked, and the memory of the queue is bounded
    When the reader resumes
    Then the log reports the number of dropped lines

  Scenario: The events of a request are found in prefixed log lines
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    And the server of the first send behaves as "fail"
    When "GET /read/x" is sent
    Then `explain` shows both sends and the answer from prefixed lines

  Scenario: The log tells what a stream resumes and the software that goes on with it
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    And the server of the first send behaves as "tear"
    When "GET /resume/x" is sent
    Then the log of each send has the software "v1" and the event after which it goes on
    When "GET /resume/x" is sent with the header "Resumes: first"
    Then `explain` shows that the request resumes "first"

  Scenario: The log tells repetitions of a request from other requests
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When "POST /read/x" is sent with the body "a"
    And "POST /read/x" is sent with the body "a"
    And "POST /read/x" is sent with the body "b"
    And "POST /read/y" is sent with the body "a"
    Then the first 2 of 4 sends have the same fingerprint and the others have none of theirs
