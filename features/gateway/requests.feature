Feature: What callers may send on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: Requests that the configuration does not allow
    When "<request>" is sent with the key "<key>"
    Then the reply is <status> without a signature
    And it reached 0 servers

    Examples:
      | request     | key   | status |
      | GET /none/x | key-1 | 404    |
      | GET /read   | key-1 | 404    |
      | GET /read/x | other | 401    |
      | GET /read/x |       | 401    |

  Scenario: A public route needs no key
    When "GET /open/x" is sent with the key ""
    Then the reply is 200 with the server's body and signature

  Scenario: A body in chunks reaches the server unchanged
    When a call with a body in chunks is sent
    Then the reply is 200 with the server's body and signature
    And the server got the body whole

  Scenario Outline: A request that could be read in two ways is refused
    When a request with "<lines>" is sent
    Then it is refused or cut, and reached no server

    Examples:
      | lines                                                    |
      | Content-Length: 3; Content-Length: 5                     |
      | Content-Length: 3; Transfer-Encoding: chunked            |
      | Transfer-Encoding: chunked, chunked                      |
      | Transfer-Encoding: identity                              |
      | Content-Length: +3                                       |

  Scenario: A caller can't have its id or key taken out by naming them in Connection
    When "GET /read/x" is sent with the line "Connection: zinniaramp-request-id, host"
    Then the reply is 200 with the server's body and signature

  Scenario: A time limit of nothing is over at once, and nothing is sent
    When "GET /read/x" is sent with 0 ms left
    Then the reply is 503 without a signature
    And it reached 0 servers
