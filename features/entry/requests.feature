Feature: Callers' requests at the entry process

  Scenario Outline: An invalid request is rejected without contacting an endpoint
    Given an entry with endpoint "a" that answers
    When a caller sends <request>
    Then the answer has status <status> and code "<code>"
    And endpoint "a" was offered 0 attempts

    Examples:
      | request                                                  | status | code              |
      | a body that is not JSON                                  | 400    | invalid_json      |
      | a body without a model                                   | 400    | invalid_field     |
      | a body with no messages                                  | 400    | invalid_field     |
      | a body with max_tokens as text                           | 400    | invalid_field     |
      | a chat request of class "nothing"                        | 400    | unknown_class     |
      | a chat request of workspace "nobody"                     | 400    | unknown_workspace |
      | a chat request of a class that its workspace may not use | 403    | class_not_allowed |
      | a chat request for model "other"                         | 404    | unknown_model     |
      | a body that is too large                                 | 413    | body_too_large    |
      | a chat request with 70 headers                           | 431    | too_many_headers  |
      | a call to an unknown service                             | 404    | unknown_service   |

  Scenario Outline: An answer is complete
    Given an entry with endpoint "a" that <behaviour>
    When a caller sends a <way> chat request
    Then the answer's text is "abc" and its outcome is "done"

    Examples:
      | behaviour        | way          |
      | answers          | streamed     |
      | answers          | non-streamed |
      | skips a chunk    | streamed     |
      | repeats chunks   | streamed     |
      | repeats chunks   | non-streamed |
      | stops responding | streamed     |

  Scenario: An answer with a wrong checksum is not reported as complete
    Given an entry with endpoint "a" that ends with a wrong checksum
    When a caller sends a streamed chat request
    Then the stream ends with an error of outcome "unknown" and without "[DONE]"

  Scenario: An interrupted stream ends with an error
    Given an entry with endpoint "a" that sends a chunk and terminates
    When a caller sends a streamed chat request
    Then the stream ends with an error of outcome "unknown" and without "[DONE]"

  Scenario: The endpoint receives a cancel when the caller disconnects
    Given an entry with endpoint "a" that sends a chunk and waits
    When a caller starts a streamed chat request and disconnects
    Then endpoint "a" is sent a cancel

  Scenario: An answer is resumed through another entry
    Given an entry with endpoint "a" that sends a chunk and waits
    And a second entry
    When a caller resumes its streamed answer at the second entry from chunk 1
    Then the answer's text is "bc" and its outcome is "done"

  Scenario Outline: An engine's error response reaches the caller
    Given an entry with endpoint "a" that answers with an error
    When a caller sends a <way> chat request
    Then the answer has status 422 and code "bad_prompt"
    And its outcome is "done"

    Examples:
      | way          |
      | streamed     |
      | non-streamed |

  Scenario: A call to a plain service is forwarded with its method, path and body
    Given an entry with endpoint "a" that answers with an error
    When a caller calls service "ledger-book" at "/reels/7?state=out" with body "x"
    Then the answer has status 422 and code "bad_prompt"
    And its outcome is "done"
    And endpoint "a" was offered "POST" "/reels/7?state=out" with body "x"

  Scenario: Metrics report outcomes, targets and tokens by class
    Given an entry with endpoint "a" that answers
    When a caller sends a non-streamed chat request
    Then the entry's metrics have these values
      | metric                                                                    | value |
      | zinniaramp_requests_total{class="question",outcome="done",reason=""}      | 1.0   |
      | zinniaramp_first_token_seconds_count{class="question"}                    | 1.0   |
      | zinniaramp_tokens_delivered_total{class="question"}                       | 3.0   |
      | zinniaramp_good_tokens_total{class="question"}                            | 3.0   |
      | zinniaramp_target_total{attained="true",class="question",target="finish"} | 1.0   |

  Scenario: A caller that stops reading does not stall other callers
    Given an entry with endpoint "a" that sends a long answer first
    When a caller starts a streamed chat request and stops reading
    And another caller sends a streamed chat request
    Then the answer's text is "abc" and its outcome is "done"
    And endpoint "a" receives no credit for the rest of the long answer
    And the long answer is complete after its caller reads it
