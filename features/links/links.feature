Feature: Streams between processes

  Scenario: A stream with many messages leaves the others their turn
    Given two open streams
    When the first receives 20000 messages at once and then the second receives one
    Then the one on the second stream is handled after 500 of the others at most
    And all messages of the first stream are handled in order

  Scenario: Messages that were received before a stream is closed here are dropped
    Given two open streams
    When the first receives 20000 messages at once and is closed at the first one
    Then no more than 500 messages of the first stream are handled
