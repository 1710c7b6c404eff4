Feature: Prompt segments that end servers

  Background:
    Given a store with the usual configuration
    And the model servers "m-1 m-2 m-3" are listed
    And 3 connected gateways

  Scenario Outline: Requests with a segment that ends servers are not sent for ever
    Given the segment "bad" ends each server after <events> events of <framing> streams
    When 16 requests with the segments "<segments>" are sent, each after the servers are back
    Then at most 8 of them reach servers
    And the other callers get 503 immediately, with a Retry-After

    Examples:
      | events | framing  | segments   |
      | 0      | chunked  | bad        |
      | 0      | chunked  | common bad |
      | 0      | chunked  | bad common |
      | 2      | chunked  | common bad |
      | 0      | unframed | common bad |
      | 2      | unframed | common bad |
