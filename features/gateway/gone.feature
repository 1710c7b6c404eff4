Feature: Requests whose server is gone before it answers

  Guards against a wait for the deadline at a server that is gone, and against giving up
  a request that may not run again while its server may still answer.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready
    And every server behaves as "hold"

  Scenario: A repeatable request goes to another server
    When "GET /read/x" waits at a server that closes its listener, and whose entry is removed
    Then the reply is 200 and the request reached 2 servers
    And the gateway has ended the send for this reason

  Scenario: A request that may not be repeated gets 502
    When "POST /book/x" waits at a server that closes its listener, and whose entry is removed
    Then the reply is 502 and the request reached 1 server
    And the gateway has ended the send for this reason

  Scenario Outline: A request that may not be repeated waits while its server may answer
    When "POST /book/x" waits at a server <fault>
    Then the reply is 200 and the request reached 1 server

    Examples:
      | fault                                      |
      | that closes its listener                   |
      | whose entry is removed                     |
      | that leaves, closes its listener, and whose entry is removed |
