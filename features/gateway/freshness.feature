Feature: How recently the store has confirmed what a gateway knows

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario: The log of a send has the time since the store's last answer
    Given a gateway that is ready
    When the store is silent for 3 s by the gateway's clock
    And "GET /read/x" is sent
    Then the log of the send says that the store confirmed it over 3 s ago

  Scenario: The log tells whether a watch was sent before or into an outage
    Given a gateway that is ready
    When its watch waits while the store is silent for 3 s by the gateway's clock
    And the store is lost, and a change after its return ends the watch
    Then the log has the age of the watch and of the last confirmation

  Scenario: Every gateway watches again after an outage that took its watch
    Given 3 connected gateways
    When the store is silent for 3 s and answers no earlier watch after it
    Then the watches of 3 gateways wait at the store without a change, and none has timed out

  Scenario: An endpoint that leaves after connections to the store were lost gets no more requests
    Given 3 connected gateways
    When the connections of all watches are lost, and the entry of "s-1" is removed 3 s later
    Then no gateway sends requests to "s-1"

  Scenario Outline: Changes are in force although watches are never answered
    Given <gateways> connected gateways
    When <unanswered>
    Then changes of the configuration and the servers are in force at every gateway

    Examples:
      | gateways | unanswered                                                |
      | 1        | 1 watch is never answered                                 |
      | 3        | 1 watch is never answered                                 |
      | 3        | 3 watches are never answered                              |
      | 3        | no watch is answered any more                             |
      | 3        | the store is silent and answers no earlier watch after it |
      | 1        | the store is restored and its watches go on waiting       |
      | 3        | the store is restored and its watches go on waiting       |

  Scenario: Changes are in force although an answer to a watch is too large to be read
    Given 3 connected gateways
    When 5 values of 900000 bytes are published while the store is silent
    Then changes of the configuration and the servers are in force at every gateway
