Feature: Stopping and reloading on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A request that arrives after the stop signal is completed
    Given every server behaves as "hold"
    When the gateway receives the stop signal
    Then its health check answers 503
    When a request arrives on an open connection and the process shuts down
    Then the request got its complete answer

  Scenario Outline: A request that can't be completed before the exit is answered: <request>
    Given every server behaves as "hold"
    When "<request>" arrives on an open connection while the gateway stops
    Then its caller gets a complete 504 before the process exits, and the server is disconnected

    Examples:
      | request      |
      | POST /book/x |
      | GET /read/x  |
      | GET /tell/x  |

  Scenario: A request whose body arrives late in the grace period is not passed on
    When the body of a request arrives after the gateway has begun to refuse new ones
    Then its caller gets a complete 503, and it reached no server

  Scenario: A request that is parsed after its connection was closed is not sent
    When a connection is closed as idle while it has an unread request
    Then the request was answered, or reached no server

  Scenario: An invalid settings file is refused, and the previous settings stay in force
    When the settings are reloaded from an invalid file
    Then the log names the invalid field of the settings
    And the health check reports the invalid field
    When the settings are reloaded from a valid file
    Then the health check reports no problems

  Scenario: The metrics report answers, sends, the configuration version and the store
    When "GET /read/x" is sent
    Then the metrics count the request by route and status

  Scenario: A refusal that is being written when the grace period ends doesn't keep the process
    Given every server behaves as "shed"
    When the refusal of "POST /book/x" is being written while the gateway stops
    Then the process has shut down
