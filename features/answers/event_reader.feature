Feature: Reading of server-sent events

  Scenario Outline: An event that never ends is refused: <bytes>
    Given an engine that sends "<bytes>" again and again
    Then reading its answer ends with an error after 2 MB at most

    Examples:
      | bytes     |
      | x         |
      | data: x\n |
      | id: 1\r\n |

  Scenario: Comments between events don't count as an event
    Given an engine that sends "data: x\n\n" after 2 MB of ": idle\n\n"
    Then reading its answer returns the event "x"
