Feature: Gateways exchange items of the store

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario Outline: A gateway without store access gets changes from its peers
    Given 3 connected gateways
    When the store connection of the first gateway is <state>
    And configuration version 9 is published
    Then every gateway has applied configuration version 9
    When the server "s-1" reports that it is draining
    Then the first gateway does not use the server "s-1"

    Examples:
      | state   |
      | refused |
      | silent  |

  Scenario: A gateway that starts in a store outage gets all items from a peer
    Given a ready gateway and another that starts while the store refuses calls
    Then both gateways are ready

  Scenario: Invalid messages close only the connection on which they arrive
    Given 2 connected gateways
    When an unknown client sends invalid messages to the first gateway
    Then each connection is closed and logged
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
