Feature: Bad input from peers
  Bad input closes the connection of its sender and affects no other connection.

  Background:
    Given a running fleet of 1 entry and 1 endpoint
    And a caller has started to receive an answer of 400 tokens

  Scenario: Bad frames and unread replies close only the stream of their sender
    Then any bad frames on several streams close each stream and are logged
    And any messages out of order either close a stream or leave it usable
    And arrays of any declared length take no memory
    And a peer that requests sections without reading is closed and logged
    And the caller receives the complete answer over the original stream
    And the endpoint process uses less than 256 MB and no task has failed

  Scenario: A peer without proof of the key is refused
    Then any bytes in place of a hello are refused and logged
    And a hello with another key and a replayed hello are refused and logged
    And a hello above 64 KB is refused before it has arrived completely
    And the caller receives the complete answer over the original stream

  Scenario: Bad requests of callers are answered with an error or closed
    Then any bad requests on several connections are answered with 4xx or closed
    And the caller receives the complete answer over the original stream
