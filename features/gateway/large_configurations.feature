Feature: Large configurations over narrow links
  A large configuration has 1,700 routes; its answer takes about 3 s on the link between
  the store and the gateway.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario: An answer that takes longer than a timeout is not ended while it arrives
    Given a gateway behind a narrow link
    When a large configuration with version 9 is published
    Then the gateway has version 9 from one answer, and has not lost the store

  Scenario: A gateway that starts behind a narrow link gets a large configuration
    Given a large configuration with version 9
    When a gateway starts behind a narrow link
    Then the gateway has version 9 from one answer, and has not lost the store

  Scenario: An endpoint that leaves while a large configuration arrives is known before it
    Given a gateway behind a narrow link
    When a large configuration with version 9 is published
    And the server "s-1" reports that it is draining once the configuration arrives
    Then the gateway stops to use "s-1" before it has version 9

  Scenario: A read barrier is passed while a large configuration arrives
    Given a gateway behind a narrow link
    When a large configuration with version 9 is published
    Then the gateway passes a read barrier before it has version 9

  Scenario: An answer that stops arriving is read again
    Given a gateway behind a narrow link
    When the link loses an answer with a large configuration after 200000 bytes
    Then the gateway has version 9

  Scenario: An answer whose connection is reset while it arrives is read again
    Given a gateway behind a narrow link
    When the link resets an answer with a large configuration after 200000 bytes
    Then the gateway has version 9

  Scenario: Other work goes on while a large configuration is decoded
    When a large configuration is decoded beside another task
    Then the task has run 30 times meanwhile, and the configuration is decoded once

  Scenario Outline: A changed route of a large configuration is decoded again: <field>
    When a large configuration is decoded, and then one whose route has <field> = <value>
    Then the second one is <result>, and has the other routes of the first one

    Examples:
      | field      | value | result  |
      | timeout_ms | 7000  | valid   |
      | priority   | true  | refused |

  Scenario: A peer with a wide link replaces the answer that a narrow one would take long for
    Given a gateway with a wide link, and one behind a narrow link
    When a large configuration with version 9 is published
    Then the gateway has version 9 from its peer, and under half of the answer
