Feature: An endpoint that is leaving receives no new requests
  Checked against the start times of requests at the engines: the engine of an
  endpoint starts none later than 3 s after the endpoint began to leave, while callers
  keep sending requests to every entry.

  Scenario: Endpoints leave by host list and by drain, with silent streams and a frozen entry
    Given a fleet of 2 entries, 3 endpoints and 0 services behind forwarders
    When callers keep sending requests
    And the first entry is frozen
    And every stream goes silent
    And the first endpoint is listed as leaving in the host list only
    And the first endpoint and the second entry have read the list
    And the host list does not answer
    And the second endpoint is drained through its operators' address only
    And the first entry resumes 3 s after that
    And callers have sent requests for 1 s more
    Then the engines of these endpoints started no request later than 3 s after that
    And the other engine started a request later
    And every answer is complete or was refused as not run
