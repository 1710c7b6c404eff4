Feature: Bad input from peers
  It costs its sender the connection, and nobody else anything.

  Background:
    Given a running fleet of 1 entry and 1 endpoint
    And an answer of 100 tokens is on its way to a caller

  Scenario: Bad frames and unread answers close their own stream only
    Then any bad frames on a handful of streams close each of them with its event
    And messages out of order close a stream or leave it in order
    And arrays of any declared length take no memory
    And a peer that asks for sections and never reads is closed with an event
    And the answer on its way ends whole, over the stream on which it began
    And the endpoint process has less than 256 MB and no task failed

  Scenario: A peer without proof of the key is refused
    Then any bytes in place of a hello are refused with an event
    And a hello with another key and a replayed one are refused with an event
    And a hello above 64 KB is refused before it has arrived
    And the answer on its way ends whole, over the stream on which it began

  Scenario: Bad requests of callers are answered or cut off
    Then any bad requests on a handful of connections are answered 4xx or closed
    And the answer on its way ends whole, over the stream on which it began
