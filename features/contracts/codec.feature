Feature: Messages between processes

  Scenario: Chunks are decoded unchanged for any sizes of the pieces received
    Given any list of chunks
    When they are encoded and received in pieces of any size
    Then the same chunks are decoded

  Scenario: Bytes that are not messages are refused
    Given any bytes
    When a decoder receives them
    Then it returns messages or a contract error and bounds its buffer

  Scenario: A message with a field of the wrong type is refused
    When a decoder receives a chunk whose sequence is text
    Then it returns a contract error that names the field "sequence"
