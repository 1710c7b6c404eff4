Feature: Every caller receives the complete answer to its own request
  Entry and endpoint processes run as in production, with forwarders on the streams
  between them. Each answer is compared with the one that the engine computes from
  the request. An answer that cannot be completed is never mistaken for a complete one.

  Scenario: Streams disconnect and go silent with slow and fast callers
    Given a fleet of 2 entries, 2 endpoints and 1 service behind forwarders
    When 24 callers, some of them slow, have started to receive answers
    And every stream is disconnected
    And every new stream goes silent permanently
    Then every answer is complete and correct
    When 6 more callers send requests while every stream is silent
    Then every answer is complete or was refused as not run

  Scenario: Chunks are duplicated and reordered on every stream
    Given a fleet of 1 entry, 1 endpoint and 1 service behind reordering forwarders
    When 24 callers, some of them slow, have started to receive answers
    And every stream is disconnected
    Then every answer is complete and correct

  Scenario: Answers of an entry that is killed while a stream is silent resume at another entry
    Given a fleet of 2 entries, 2 endpoints and 1 service behind forwarders
    When 8 callers of the first entry have started to receive answers of 60 tokens
    And every stream goes silent
    And the first entry is killed
    Then no answer of the first entry appears complete
    When its callers resume their answers at the second entry
    Then every answer is complete and correct
    When the second entry is asked for an answer from a position after its end
    Then that answer does not appear complete
    When the answer to a plain call is requested again from the second entry
    Then every answer is complete and correct

  Scenario: An answer whose endpoint is lost never appears complete
    Given a fleet of 1 entry, 1 endpoint and 1 service behind forwarders
    When 8 callers of the first entry have started to receive answers of 60 tokens
    And the endpoint is killed while its streams are silent
    Then every answer ends with an error and none appears complete
