Feature: Stopping and reloading on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A request that comes after the signal is finished, not cut
    Given every server will "hold"
    When the gateway is told to stop
    Then its health check answers 503
    When a request comes on a connection that was open, and the process finishes
    Then the held request got its whole answer

  Scenario: A head that is parsed after its connection was closed is sent nowhere
    When a connection is closed as idle while a request waits on it
    Then the request was answered, or reached no server

  Scenario: A wrong settings file is refused, and the old settings stay
    When the settings are read again from a wrong file
    Then the log says which field of the settings is wrong
    And the health check names it
    When it is read again from the right file
    Then the health check names nothing

  Scenario: The metrics address counts answers, sends and what the process believes
    When "GET /read/x" is sent
    Then the metrics count it under its route and status
