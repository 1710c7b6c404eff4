Feature: Logs that never hold up a request

  Scenario: A reader that stalls blocks nothing, and what was left out is counted
    Given a log whose reader has stalled
    When 20000 lines are written
    Then no write has waited, and the memory for them is bounded
    When the reader goes on
    Then the log says how many lines were left out

  Scenario: The story of a request is told over several processes' lines
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    And the first send will "fail"
    When "GET /read/x" is sent
    Then explaining it from prefixed lines tells both sends and the answer
