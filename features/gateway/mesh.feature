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

  Scenario: A gateway without store access asks one peer for the missing items
    Given 4 connected gateways
    When the store connection of the first gateway is refused
    And configuration version 9 is published
    Then every gateway has applied configuration version 9
    And the peers were asked for items once

  Scenario: A gateway knows all the others of a large deployment
    Given a gateway that is ready
    When it learns of 331 other gateways
    Then it shares the retry budget with all of them

  Scenario: An address that a peer misspells is not counted as a gateway
    Given a gateway that is ready
    When a peer names itself "nowhere"
    Then each connection is closed and logged
    And the gateway counts only itself

  Scenario: Changes in quick succession cost few calls to the store
    Given a gateway that is ready
    When 40 items change one after the other
    Then the gateway has them all after 3 watches at most

  Scenario: Invalid messages close only the connection on which they arrive
    Given 2 connected gateways
    When an unknown client sends invalid messages to the first gateway
    Then each connection is closed and logged
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
