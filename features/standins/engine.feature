Feature: The engine stand-in
  It batches continuously, and its answers are functions of the request alone.

  Scenario: The batch never exceeds its width and follows priorities
    Then any mix of requests, pauses, resumptions and cancellations keeps the batching law

  Scenario: A step takes longer for a larger batch, and cached prompt tokens cost nothing
    Then the speed law grows with the batch and with uncached prompt tokens

  Scenario: The prefix cache is bounded
    Then a prefix cache holds no more blocks than its capacity

  Scenario: The text is a function of the model and the messages
    Then the expected text does not depend on identity, priority or streaming
    And lengths that requests do not fix have a heavy tail

  Scenario: A paused request gives way, resumes and ends whole
    Given an engine stand-in of width 1
    When request "long" for 60 tokens streams
    And request "long" is paused after its first token
    And request "short" for 5 tokens streams
    Then request "short" ends whole while "long" has not ended
    When request "long" is resumed
    Then request "long" ends whole
    And the log shows "long" with 60 tokens, not cancelled

  Scenario: A cancelled request ends without the closing event
    Given an engine stand-in of width 1
    When request "long" for 5000 tokens streams
    And request "long" is cancelled after its first token
    Then request "long" ends without the closing event
    And the log shows "long" cancelled
    And an order for request "long" is answered 404

  Scenario: A caller that drops its connection cancels its request
    Given an engine stand-in of width 1
    When a caller of request "gone" for 5000 tokens drops its connection
    Then the log shows "gone" cancelled

  Scenario: Bodies with wrong types are refused
    Given an engine stand-in of width 1
    Then any body with a value of the wrong type is answered 400
    And an unknown model is answered 404

  Scenario: A silent engine sends nothing until it is told to speak
    Given an engine stand-in of width 1
    When request "quiet" for 60 tokens streams
    And the engine falls silent after the first token of "quiet"
    Then the log shows "quiet" with 60 tokens, not cancelled
    And request "quiet" has not ended
    When the engine speaks again
    Then request "quiet" ends whole
