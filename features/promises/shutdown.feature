Feature: A graceful shutdown cuts off no request in flight

  Scenario: Every process is restarted in turn under load
    Given a fleet of 2 entries, 2 endpoints and 2 services behind forwarders
    When callers keep asking
    And each entry and endpoint is ended with SIGTERM and started again in turn
    Then each ended with exit code 0
    And each entry was not ready before its port was closed
    And every answer is whole and its own

  Scenario: An endpoint is told to stop while its streams are silent
    Given a fleet of 1 entry, 1 endpoint and 0 services behind forwarders
    When 6 callers of the first entry have begun to receive answers of 30 tokens
    And every stream is silenced
    And the first endpoint is told to stop
    Then it ends with exit code 0
    And every answer is whole and its own

  Scenario: An entry is told to stop while a request is only half sent
    Given a fleet of 1 entry, 1 endpoint and 0 services behind forwarders
    When a caller has sent half of a request on a connection used before
    And the first entry is told to stop
    And the entry's port is closed
    And the other half is sent
    Then it ends with exit code 0
    And every answer is whole and its own
