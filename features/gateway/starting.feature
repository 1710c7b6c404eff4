Feature: Startup of the gateway

  Scenario: The callers' listener is opened before the libraries are loaded
    When only the first step of the startup is run
    Then it listens and none of the libraries is loaded

  Scenario: A request that arrives while the process starts is answered
    Given a store with the usual configuration
    And the servers "s-1" are listed
    When a request waits in the listen backlog and then the gateway starts
    Then the reply is 200 with the server's body and signature

  Scenario: Without an address in the settings file no listener is opened
    When the listener is opened with a settings file without the callers' address
    Then it is not open and the problem states the missing key

  Scenario: The demo of the gateway with its stand-ins runs as the README says
    When the demo of the gateway is run
    Then it exits with 0 and every answer is as expected
