Feature: Entries tell each other what they know

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario Outline: A version and a server's leaving reach an entry that the store fails
    Given 3 gateways that know each other
    When the store is <state> for the first gateway
    And version 9 is published
    Then every gateway has version 9 in force
    When the server "s-1" says that it leaves
    Then the first gateway does not use "s-1"

    Examples:
      | state   |
      | refused |
      | silent  |

  Scenario: An entry that starts while the store is away learns all from another one
    Given a gateway that starts while the store refuses it
    Then both gateways are ready

  Scenario: Bytes that are not messages close their connection and nothing else
    Given 2 gateways that know each other
    When a stranger sends the first gateway bytes that are not messages
    Then each connection was closed with a line in the log
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
