Feature: The engine stand-in
  It simulates continuous batching, and its answers depend on the request alone.

  Scenario: The batch is filled by priority and never exceeds its width
    Then any sequence of submissions, pauses, resumptions and cancellations is batched by priority

  Scenario: A step takes longer for a larger batch, and cached prompt tokens need no prefill
    Then the step time grows with the batch, and the prefill time with uncached tokens

  Scenario: The capacity of the prefix cache is limited
    Then a prefix cache never contains more blocks than its capacity

  Scenario: The text depends only on the model and the messages
    Then the expected text does not depend on the request id, priority or streaming
    And the lengths of answers have a heavy tail if the requests do not set them

  Scenario: A paused request frees its slot and completes after it is resumed
    Given an engine stand-in of width 1
    When request "long" streams 60 tokens
    And the engine receives the order to pause "long" after its first token
    And request "short" streams 5 tokens
    Then request "short" completes while "long" has not ended
    When request "long" is resumed
    Then request "long" completes
    And the log records "long" with 60 tokens, not cancelled

  Scenario: A cancelled request ends without the [DONE] event
    Given an engine stand-in of width 1
    When request "long" streams 5000 tokens
    And the engine receives the order to cancel "long" after its first token
    Then request "long" ends without the [DONE] event
    And the log records "long" cancelled
    And an order for request "long" is answered 404

  Scenario: A request is cancelled when its caller closes the connection
    Given an engine stand-in of width 1
    When the caller of request "gone" for 5000 tokens closes its connection
    Then the log records "gone" cancelled

  Scenario: Bodies with values of the wrong type are rejected
    Given an engine stand-in of width 1
    Then any body with a value of the wrong type is answered 400
    And an unknown model is answered 404

  Scenario: A silent engine generates tokens but sends nothing until the fault ends
    Given an engine stand-in of width 1
    When request "quiet" streams 60 tokens
    And the engine becomes silent after the first token of "quiet"
    Then the log records "quiet" with 60 tokens, not cancelled
    And request "quiet" has not ended
    When the engine is no longer silent
    Then request "quiet" completes
