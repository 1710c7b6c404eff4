Feature: Servers that are silent for longer than their route expects

  Guards against giving up a server that would have answered, when the request can't be
  sent to another one.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: A server that pauses completes a stream that may not be sent again
    When a stream of "/gaps/x" pauses between events, and its retry is refused by <refusal>
    Then the reply is 200 with every event once and in order
    And the request reached 1 server

    Examples:
      | refusal                     |
      | a quarantine of its segment |
      | a quarantine of the request |
      | the lack of endpoints       |
      | the retry budget            |

  Scenario Outline: A server that is late answers a request that may not be sent again
    When "<path>" is answered late, and its retry is refused by <refusal>
    Then the reply is complete, and the request reached 1 server

    Examples:
      | path    | refusal                     |
      | /gaps/x | a quarantine of its segment |
      | /gaps/x | the lack of endpoints       |
      | /read/x | a quarantine of its segment |
      | /read/x | a quarantine of the request |
      | /read/x | the lack of endpoints       |
      | /read/x | the retry budget            |

  Scenario: A request is sent again once its quarantine has ended
    When "/gaps/x" is held by its server, and its segment is quarantined for 1 s
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers
