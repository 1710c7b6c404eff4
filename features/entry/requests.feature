Feature: Callers' requests at the entry process

  Scenario Outline: A wrong request is answered without touching an endpoint
    Given an entry with endpoint "a" that answers
    When a caller sends <request>
    Then the answer has status <status> and code "<code>"
    And endpoint "a" was offered 0 attempts

    Examples:
      | request                                | status | code              |
      | a body that is not JSON                | 400    | invalid_json      |
      | a body without a model                 | 400    | invalid_field     |
      | a body with no messages                | 400    | invalid_field     |
      | a body with max_tokens as text         | 400    | invalid_field     |
      | a chat of class "nothing"              | 400    | unknown_class     |
      | a chat of workspace "nobody"           | 400    | unknown_workspace |
      | a chat of a class not for it           | 403    | class_not_allowed |
      | a chat for model "other"               | 404    | unknown_model     |
      | a body that is too large               | 413    | body_too_large    |
      | a chat with 70 headers                 | 431    | too_many_headers  |
      | a call of a service that is not there  | 404    | unknown_service   |

  Scenario Outline: An answer is whole
    Given an entry with endpoint "a" that <behaviour>
    When a caller sends a <way> chat
    Then the answer's text is "abc" and its outcome is "done"

    Examples:
      | behaviour      | way      |
      | answers        | streamed |
      | answers        | whole    |
      | skips a chunk  | streamed |
      | repeats chunks | streamed |
      | repeats chunks | whole    |
      | goes silent    | streamed |

  Scenario: An answer with a wrong checksum is not passed off as whole
    Given an entry with endpoint "a" that ends with a wrong checksum
    When a caller sends a streamed chat
    Then the stream ends with an error of outcome "unknown" and without "[DONE]"

  Scenario: A stream that breaks says so
    Given an entry with endpoint "a" that begins and goes
    When a caller sends a streamed chat
    Then the stream ends with an error of outcome "unknown" and without "[DONE]"

  Scenario: The endpoint hears that the caller has gone
    Given an entry with endpoint "a" that begins and waits
    When a caller starts a streamed chat and goes
    Then endpoint "a" is sent a cancel

  Scenario: An answer is continued through another entry
    Given an entry with endpoint "a" that begins and waits
    And a second entry
    When a caller continues its streamed chat at the second entry from chunk 1
    Then the answer's text is "bc" and its outcome is "done"

  Scenario Outline: An engine's own error reaches the caller
    Given an entry with endpoint "a" that answers with an error
    When a caller sends a <way> chat
    Then the answer has status 422 and code "bad_prompt"
    And its outcome is "done"

    Examples:
      | way      |
      | streamed |
      | whole    |

  Scenario: A call of a plain service is passed on with its method, path and body
    Given an entry with endpoint "a" that answers with an error
    When a caller calls service "ledger-book" at "/reels/7?state=out" with body "x"
    Then the answer has status 422 and code "bad_prompt"
    And its outcome is "done"
    And endpoint "a" was offered "POST" "/reels/7?state=out" with body "x"

  Scenario: Metrics tell outcomes, targets and tokens by class
    Given an entry with endpoint "a" that answers
    When a caller sends a whole chat
    Then the entry's metrics have these values
      | metric                                                                       | value |
      | zinniaramp_requests_total{class="question",outcome="done",reason=""}         | 1.0   |
      | zinniaramp_first_token_seconds_count{class="question"}                       | 1.0   |
      | zinniaramp_tokens_delivered_total{class="question"}                          | 3.0   |
      | zinniaramp_good_tokens_total{class="question"}                               | 3.0   |
      | zinniaramp_target_total{attained="true",class="question",target="finish"}    | 1.0   |

  Scenario: A caller that does not read stalls only itself
    Given an entry with endpoint "a" that answers at length first
    When a caller starts a streamed chat and does not read on
    And another caller sends a streamed chat
    Then the answer's text is "abc" and its outcome is "done"
    And endpoint "a" is allowed no more of the long answer
    And the long answer is whole once its caller reads it
