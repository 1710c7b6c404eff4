Feature: Validation of callers' requests on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: Requests that the configuration does not allow
    When "<request>" is sent with the key "<key>"
    Then the reply is <status> without a signature
    And the request reached 0 servers

    Examples:
      | request     | key   | status |
      | GET /none/x | key-1 | 404    |
      | GET /read   | key-1 | 404    |
      | GET /read/x | other | 401    |
      | GET /read/x |       | 401    |

  Scenario: A public route needs no key
    When "GET /open/x" is sent with the key ""
    Then the reply is 200 with the server's body and signature

  Scenario: A chunked body reaches the server unchanged
    When a request with a chunked body is sent
    Then the reply is 200 with the server's body and signature
    And the server received the complete body

  Scenario Outline: A request with ambiguous framing is refused
    When a request with "<lines>" is sent
    Then the request is refused or its connection closed, and it reached no server

    Examples:
      | lines                                                    |
      | Content-Length: 3; Content-Length: 5                     |
      | Content-Length: 3; Transfer-Encoding: chunked            |
      | Transfer-Encoding: chunked, chunked                      |
      | Transfer-Encoding: identity                              |
      | Content-Length: +3                                       |

  Scenario: Headers that the gateway needs are forwarded even if Connection lists them
    When "GET /read/x" is sent with the header "Connection: zinniaramp-request-id, host"
    Then the reply is 200 with the server's body and signature

  Scenario: A request with a deadline of zero is refused and sent to no server
    When "GET /read/x" is sent with a deadline of 0 ms
    Then the reply is 503 without a signature
    And the request reached 0 servers
