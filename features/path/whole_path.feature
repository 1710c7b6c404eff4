Feature: End-to-end request path
  A caller's streamed request passes through an entry process and an endpoint
  process to the engine, and the complete answer is returned to the caller.

  Scenario: A streamed chat request is answered completely
    Given a fleet with 1 entry and 1 endpoint
    When a caller sends a streamed chat request for 40 tokens
    Then the answer equals the engine's text for that request
    And the entry's log has a routing decision for it
    And the endpoint's log has a placement decision for it

  Scenario: Everything that the package imports is a declared dependency
    When the imports of every module of the package are read
    Then each is from the package, the standard library or a declared dependency
