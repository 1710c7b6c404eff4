Feature: Requests that end the servers which run them

  Background:
    Given a store with the usual configuration and the workspaces "workshop other"

  Scenario Outline: A request that ends servers is not sent for ever
    Given the servers "s-1 s-2 s-3" are listed
    And 3 connected gateways
    And the request "<text>" of "workshop" ends each server within <seconds> s
    When it is sent 16 times, with sound requests beside it, each after the servers are back
    Then at most 6 sends of it reach servers
    And its other callers get 503 immediately, with a Retry-After
    And the sound requests are answered by every gateway

    Examples:
      | text         | seconds |
      | GET /read/x  | 0       |
      | GET /read/x  | 0.05    |
      | POST /read/x | 0.05    |
      | POST /book/x | 0.05    |
      | GET /tell/x  | 0.05    |

  Scenario: A request that ends model servers is not sent for ever
    Given the model servers "m-1 m-2 m-3" are listed
    And 3 connected gateways
    And the request "POST /ask/x" of "workshop" ends each server within 0.05 s
    When it is sent 16 times, with sound requests beside it, each after the servers are back
    Then at most 6 sends of it reach servers
    And its other callers get 503 immediately, with a Retry-After
    And the sound requests are answered by every gateway
