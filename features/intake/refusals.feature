Feature: Refusals of large requests are early, true and received

  Guards against reading a body whose request will be refused anyway, against losing
  the refusal because its connection is reset, and against refusing a body of legal
  size while the process is calm.

  Background:
    Given a gateway process with 80 MiB of memory and 400 descriptors

  Scenario Outline: A request whose refusal is certain is refused before its body is sent
    When the headers of a body of 900000 bytes are sent to <path> with the key "<key>"
    Then the caller gets <status> before it sends the body
    When the caller sends the body
    Then the connection is closed, and no server received the request

    Examples:
      | path    | key   | status |
      | /none/x | key-1 | 404    |
      | /book/x | other | 401    |

  Scenario: A caller that sends the whole refused body first still gets the refusal
    When a request with 1000000 bytes is sent to /none/x
    Then the caller gets 404

  Scenario: A calm process accepts bodies of the largest legal size, one after another
    When 40 requests with 1000000 bytes are sent to /book/x one after another
    Then each caller gets 200

  Scenario: A body that is evicted is refused as not run
    Given servers that hold the requests of the crowd
    When 60 callers send "bodies that stop short, in one piece" to a route
    Then the first caller of the crowd got 503 with Retry-After
    And no server received a request of the crowd
