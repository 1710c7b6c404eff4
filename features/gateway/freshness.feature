Feature: How recently the store has confirmed what a gateway knows

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario: The log of a send has the time since the store's last answer
    Given a gateway that is ready
    When the store is silent for 3 s by the gateway's clock
    And "GET /read/x" is sent
    Then the log of the send says that the store confirmed it over 3 s ago
