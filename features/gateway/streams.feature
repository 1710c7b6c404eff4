Feature: Streams on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A stream is passed on whole
    When "GET /tell/x" is sent
    Then the reply is 200 with every event once and in order

  Scenario: A stream without a length is passed on as it comes
    Given every server will "unframed"
    When "GET /tell/x" is sent
    Then the reply is 200 with every event once and in order

  Scenario: A stream that breaks off and may not be resumed does not look complete
    Given every server will "tear"
    When "GET /tell/x" is sent
    Then the reply breaks off after whole events
    And it reached 1 server

  Scenario: An event that comes twice is not passed on twice
    Given every server will "repeat"
    When "GET /tell/x" is sent
    Then no event is passed on twice, and the answer does not look complete

  Scenario: A stream that may be resumed is joined without a piece missing or twice
    Given the first send will "tear"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order
    And it reached 2 servers
    And the second send named the last event that the caller has

  Scenario: A stream that may be resumed is sent again when its server failed it
    Given the first send will "fail"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order
    And it reached 2 servers

  Scenario: A route that names no targets sets no bound on silence
    Given every server will "hold"
    When "GET /resume/x" is sent and the server goes on after a while
    Then the reply is 200 with every event once and in order
    And it reached 1 server

  Scenario: Requests of workspaces alike are ranked by their routes' priorities
    When configuration version 9 has the workspaces "first=0 second=1 third=1" and routes of priority "0 1 2"
    Then the engine receives the urgency levels "0 1 2" for the workspace "first"
    And the engine receives the urgency levels "3 4 5" for the workspace "third"
