Feature: Configuration and endpoints as the gateway believes them

  Scenario: A process that knows no configuration is not ready and answers 503
    Given an empty store
    And a gateway that has started
    When "GET /read/x" is sent
    Then the reply is 503 without a signature
    And its health check answers 503

  Scenario: A version comes into force by watch, and an older one never does
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When version 9 takes the key "key-1" away
    And version 8 gives it back
    And "GET /read/x" is sent
    Then the reply is 401 without a signature

  Scenario: A configuration that can't be read is refused whole, with field and remedy
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When version 9 has a route without a kind
    Then the log names the field and the remedy
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: A server that leaves gets no request, also under its old id without "ready"
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    When the server "s-1" says that it leaves, and then that it is ready
    And 6 calls are sent
    Then none reached "s-1"

  Scenario: A server reborn under its old id is another one
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When the server "s-1" leaves and is born again
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: An entry of another writer names no server, and the others hold
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When entries that can't be read are written
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: Another server at an address says so, and nothing has run
    Given a store with the usual configuration
    And the server "s-2" is listed at the address of "s-1"
    And a gateway that is ready
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And no server has run it

  Scenario: Items are read over several pages, and changes after a lost history
    Given a store with the usual configuration and pages of one item
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    When the store drops its history while it is away and "s-1" leaves
    Then the gateway knows only "s-2"

  Scenario: Entries that lapse while the store is away are held until they may be back
    Given a store with the usual configuration
    And the servers "s-1" are listed
    And a gateway that is ready
    When the store returns after an outage in which "s-1" lapsed
    And "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    When the time in which entries are back is over
    And "GET /read/x" is sent
    Then the reply is 503 without a signature
