Feature: Streams on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A stream is forwarded completely
    When "GET /tell/x" is sent
    Then the reply is 200 with every event once and in order

  Scenario: A stream without a length is forwarded completely
    Given every server behaves as "unframed"
    When "GET /tell/x" is sent
    Then the reply is 200 with every event once and in order

  Scenario Outline: A stream without a length that ends too early is not complete
    Given every server behaves as "<behaviour>"
    When "GET /tell/x" is sent
    Then the reply is not a complete success
    When "GET /resume/x" is sent and the other server answers
    Then the reply is 200 with every event once and in order

    Examples:
      | behaviour      |
      | unframed-tear  |
      | unframed-empty |

  Scenario: A stream that breaks and is not resumable is forwarded as incomplete
    Given every server behaves as "tear"
    When "GET /tell/x" is sent
    Then the reply is incomplete and ends after a complete event
    And the request reached 1 server

  Scenario: A duplicate event is not forwarded
    Given every server behaves as "repeat"
    When "GET /tell/x" is sent
    Then no event is forwarded twice, and the reply is not a complete success

  Scenario: A resumable stream that breaks is resumed without lost or duplicate events
    Given the server of the first send behaves as "tear"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers
    And the second send carries the id of the last forwarded event

  Scenario: A resumable stream is retried when its server answers with an error
    Given the server of the first send behaves as "fail"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers

  Scenario Outline: Of an error in the middle of a stream its caller gets nothing: <error>, <break>
    Given one server behaves as "<break>" at the first send, and all others as "<error>"
    When "GET /resume/x" is sent
    Then the reply has events in order, no other text, and is not a complete success

    Examples:
      | break               | error              |
      | tear                | fail-in-events     |
      | tear                | fail-unframed      |
      | tear                | success-with-error |
      | tear                | redirect           |
      | tear                | no-content         |
      | tear                | unframed-empty     |
      | tear                | shed               |
      | unframed-tear       | fail-in-events     |
      | unframed-tear       | redirect           |
      | unframed-error      | unframed-error     |
      | unframed-late-error | fail-unframed      |

  Scenario Outline: A stream in which a server writes an error is resumed: <break>
    Given the server of the first send behaves as "<break>"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order

    Examples:
      | break               |
      | unframed-error      |
      | unframed-late-error |

  Scenario: A route without targets has no timeout for a silent server
    Given every server behaves as "hold"
    When "GET /resume/x" is sent and the server continues after a pause
    Then the reply is 200 with every event once and in order
    And the request reached 1 server

  Scenario: Requests are ranked by the priority of the workspace, then of the route
    When configuration version 9 has the workspaces "first=0 second=1 third=1" and routes of priority "0 1 2"
    Then the engine receives the urgency levels "0 1 2" for the workspace "first"
    And the engine receives the urgency levels "3 4 5" for the workspace "third"
