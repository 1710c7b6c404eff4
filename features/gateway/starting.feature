Feature: Starting on the platform

  Scenario: The callers' listener is opened before the libraries are loaded
    When the start's first step is run by itself
    Then it listens, and has loaded no library

  Scenario: A request that waits while the process starts is served
    Given a store with the usual configuration
    And the servers "s-1" are listed
    When a request waits in the listener's queue, and then the gateway starts
    Then the reply is 200 with the server's body and signature

  Scenario: A settings file that names no address gives no listener, and says why
    When the listener is to be opened by a file without an address
    Then there is none, and the problem names what is missing
