Feature: Every caller gets the whole answer to its own request
  Entry and endpoint processes run as they do in production, with forwarders on the
  streams between them. Each answer is compared with the engine's function of its
  request. One that cannot be completed never looks whole.

  Scenario: Streams are cut and go silent while slow and fast callers read
    Given a fleet of 2 entries, 2 endpoints and 1 service behind forwarders
    When 24 callers, some of them slow, have begun to receive answers
    And every stream is cut
    And every new stream goes silent for good
    Then every answer is whole and its own
    When 6 more callers ask while every stream is silent
    Then every answer is whole or was refused as not run

  Scenario: Chunks come doubled and crossed on every stream
    Given a fleet of 1 entry, 1 endpoint and 1 service behind crossing forwarders
    When 24 callers, some of them slow, have begun to receive answers
    And every stream is cut
    Then every answer is whole and its own

  Scenario: An entry is killed while a stream is silent, and its answers go on elsewhere
    Given a fleet of 2 entries, 2 endpoints and 1 service behind forwarders
    When 8 callers of the first entry have begun to receive answers of 60 tokens
    And every stream is silenced
    And the first entry is killed
    Then no answer of the first entry looks whole
    When its callers ask the second entry for the rest
    Then every answer is whole and its own
    When the second entry is asked for an answer from beyond its end
    Then that answer does not look whole
    When a plain answer is asked for again at the second entry
    Then every answer is whole and its own

  Scenario: An answer that nobody can complete never looks whole
    Given a fleet of 1 entry, 1 endpoint and 1 service behind forwarders
    When 8 callers of the first entry have begun to receive answers of 60 tokens
    And the endpoint is killed while its streams are silent
    Then every answer ends with an error and none looks whole
