Feature: A graceful shutdown interrupts no request in flight

  Scenario: All processes are restarted one after another under load
    Given a fleet of 2 entries, 2 endpoints and 2 services behind forwarders
    When callers keep sending requests
    And each entry and endpoint is ended with SIGTERM and restarted in turn
    Then each ended with exit code 0
    And each entry was not ready before its port was closed
    And every answer is complete and correct

  Scenario: An endpoint receives SIGTERM while its streams are silent
    Given a fleet of 1 entry, 1 endpoint and 0 services behind forwarders
    When 6 callers of the first entry have started to receive answers of 30 tokens
    And every stream goes silent
    And the first endpoint receives SIGTERM
    Then it ends with exit code 0
    And every answer is complete and correct

  Scenario: An entry receives SIGTERM when only half of a request has been sent
    Given a fleet of 1 entry, 1 endpoint and 0 services behind forwarders
    When a caller has sent half of a request on a reused connection
    And the first entry receives SIGTERM
    And the entry's port is closed
    And the other half is sent
    Then it ends with exit code 0
    And every answer is complete and correct
