Feature: The gateway's view of configuration and endpoints

  Scenario: A gateway without a configuration is not ready and answers 503
    Given an empty store
    And a gateway that has started
    When "GET /read/x" is sent
    Then the reply is 503 without a signature
    And its health check answers 503

  Scenario: A newer configuration is applied by a watch, and an older one never is
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When configuration version 9 removes the API key "key-1"
    And configuration version 8 has the API key again
    And "GET /read/x" is sent
    Then the reply is 401 without a signature

  Scenario: An invalid configuration is rejected as a whole with field and remedy
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When configuration version 9 has a route without a type
    Then the log states the invalid field and the remedy
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: A draining server gets no requests, even if it reports ready again
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    When the server "s-1" reports that it is draining and then that it is ready
    And 6 calls are sent
    Then no request reached the server "s-1"

  Scenario: A server that restarts under its old id is a new incarnation
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When the server "s-1" drains and restarts
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: Invalid endpoint entries are not used until a valid one replaces them
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When invalid endpoint entries and then a valid one are published
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: A server with another id than expected rejects the request without running it
    Given a store with the usual configuration
    And the server "s-2" is listed at the address of "s-1"
    And a gateway that is ready
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And no server has run it

  Scenario: Items are read over several pages, and again after a compaction
    Given a store with the usual configuration and pages of one item
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    When the store compacts its history in an outage in which "s-1" is removed
    Then the gateway lists only the server "s-2"

  Scenario: Entries that expire in a store outage stay in use for a grace period
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When the store recovers from an outage in which the entry of "s-1" expired
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    When the grace period of expired entries is over
    And "GET /read/x" is sent
    Then the reply is 503 without a signature
