Feature: Outcomes of requests on the platform

  A server is an endpoint of the platform; the store lists it.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A request without a stream gets the server's complete answer and signature
    When "GET /read/x?y=1" is sent
    Then the reply is 200 with the server's body and signature
    And one server received it with its method, path, query and id unchanged

  Scenario Outline: An answer that can't be trusted is never forwarded as a success
    Given every server behaves as "<behaviour>"
    When "POST /book/x" is sent
    Then the reply is 502 without a signature
    And the request reached 1 server

    Examples:
      | behaviour |
      | close     |
      | tear      |
      | foreign   |
      | unsigned  |
      | encoded   |
      | garbage   |

  Scenario: Bytes after a complete answer are discarded
    Given every server behaves as "extra"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: An answer without a length ends when its connection closes
    Given every server behaves as "unframed"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario Outline: Bytes without an end are read up to a limit
    Given every server behaves as "<behaviour>"
    When "<request>" is sent
    Then the reply is not a complete success
    And the server that sent bytes without an end was disconnected after 32 MB at most

    Examples:
      | behaviour    | request      |
      | endless-head | POST /book/x |
      | endless-head | GET /tell/x  |
      | endless-body | POST /book/x |
      | endless-body | GET /read/x  |
      | endless-body | GET /tell/x  |
      | endless-body | GET /resume/x |

  Scenario: A list of cached segments without an end is read up to a limit
    Given a model server whose list of cached segments never ends
    Then the server that sent the list was disconnected after 16 MB at most

  Scenario: A rejected request is answered as not run, with a Retry-After header
    Given every server behaves as "shed"
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And the reply has a Retry-After header
    And no server has run it

  Scenario: Retry-After is shorter than the time until the deadline
    Given every server behaves as "shed"
    When "POST /book/x" is sent with a deadline of 600 ms
    Then the reply is 503 without a signature
    And its Retry-After is at most 200 ms

  Scenario: A status that implies not-run is not trusted unless the server states it
    Given every server behaves as "unavailable"
    When "POST /book/x" is sent
    Then the reply is 502 without a signature

  Scenario: A retryable request is retried on a second server
    Given the server of the first send behaves as "fail"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    And the request reached 2 servers

  Scenario: A retryable request is retried when its server is silent
    Given the server of the first send behaves as "hold"
    When "GET /read/x" is sent with a deadline of 1000 ms
    Then the reply is 200 with the server's body and signature
    And the request reached 2 servers
    And the server's run was cancelled

  Scenario: A server's error is forwarded unchanged when no retry is left
    Given every server behaves as "fail"
    When "GET /read/x" is sent
    Then the reply is 500 with a signature
    And the request reached 2 servers

  Scenario: A non-retryable request is sent only once
    Given every server behaves as "fail"
    When "POST /book/x" is sent
    Then the reply is 500 with a signature
    And the request reached 1 server

  Scenario Outline: A non-retryable request is sent only once even if its route allows more
    Given every server behaves as "<behaviour>"
    When "POST /once/x" is sent
    Then the reply is <status> and the request reached 1 server

    Examples:
      | behaviour | status |
      | fail      | 500    |
      | close     | 502    |
      | tear      | 502    |

  Scenario: A request is answered as not run if no server accepts a connection
    Given the server "s-1" is down but still listed
    And the server "s-2" is down but still listed
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And the reply has a Retry-After header

  Scenario: A server whose sends fail is ejected for a while, and the ejection is logged
    Given the server "s-1" is down but still listed
    When "POST /book/x" is sent repeatedly until the ejection of "s-1" is logged
    Then every request succeeded

  Scenario: The caller's deadline ends the request and the server's run
    Given every server behaves as "hold"
    When "POST /book/x" is sent with a deadline of 300 ms
    Then the reply is 504 without a signature
    And the server's run was cancelled

  Scenario: The route's timeout ends the request and the server's run
    Given every server behaves as "hold"
    When "GET /brief/x" is sent
    Then the reply is 504 without a signature
    And the server's run was cancelled
    And the server received a deadline of at most 300 ms

  Scenario Outline: A caller that disconnects cancels the server's run
    Given every server behaves as "hold"
    When "<call>" is sent and its caller disconnects
    Then the server's run was cancelled
    And the caller's disconnect is logged as the cause, and nothing else was sent

    Examples:
      | call         |
      | GET /read/x  |
      | POST /book/x |

  Scenario: The deadline is forwarded, and headers that a caller may not set are replaced
    When "POST /book/x" is sent with forged headers
    Then the server received the gateway's values instead of the forged ones

  Scenario: An answer without a length is incomplete if its connection is reset
    Given the connection of the first answer without a length is reset
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    And the request reached 2 servers

  Scenario: A server may answer before it has read a long body
    Given every server behaves as "early"
    When a request with a long body is answered before the body is read
    Then the reply is 500 with a signature

  Scenario: All processes together stay within the retry budget in every window
    When processes request retries at any times, and some of them restart
    Then no window has more retries than the budget of all processes allows
