Feature: Messages between processes

  Scenario: Every chunk survives encoding with any boundaries
    Given any list of chunks
    When they are encoded and received in pieces of any size
    Then the same chunks are decoded

  Scenario: Bytes that are not messages are refused
    Given any bytes
    When a decoder is fed with them
    Then it returns messages or a contract error and holds a bounded buffer

  Scenario: A message with a field of the wrong type is refused
    When a decoder is fed a chunk whose sequence is text
    Then it returns a contract error that names the field "sequence"
