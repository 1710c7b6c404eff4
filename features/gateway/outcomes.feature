Feature: Outcomes of requests on the platform

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario: A plain call gets the server's whole answer and signature
    When "GET /read/x?y=1" is sent
    Then the reply is 200 with the server's body and signature
    And one server got it with its method, path, query and id unchanged

  Scenario Outline: An answer that can't be trusted is never passed on as a success
    Given every server will "<conduct>"
    When "POST /book/x" is sent
    Then the reply is 502 without a signature
    And it reached 1 server

    Examples:
      | conduct   |
      | close     |
      | tear      |
      | foreign   |
      | unsigned  |
      | encoded   |
      | garbage   |

  Scenario: Bytes after a complete answer belong to nobody
    Given every server will "extra"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: An answer without a length ends with its connection
    Given every server will "unframed"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature

  Scenario: A call that is rejected is said not to have run, with a time to come back
    Given every server will "shed"
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And it says when to come back
    And no server has run it

  Scenario: A caller is never asked to wait longer than it will
    Given every server will "shed"
    When "POST /book/x" is sent with 600 ms left
    Then the reply is 503 without a signature
    And it says to come back within 200 ms

  Scenario: A status that promises not-run is passed on only with the server's word
    Given every server will "unavailable"
    When "POST /book/x" is sent
    Then the reply is 502 without a signature

  Scenario: A call that may be repeated is sent to a second server
    Given the first send will "fail"
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    And it reached 2 servers

  Scenario: A call that may be repeated is not left with a silent server
    Given the first send will "hold"
    When "GET /read/x" is sent with 1000 ms left
    Then the reply is 200 with the server's body and signature
    And it reached 2 servers
    And the run was cut

  Scenario: A server's own failure is passed on unchanged when nothing is left to try
    Given every server will "fail"
    When "GET /read/x" is sent
    Then the reply is 500 with a signature
    And it reached 2 servers

  Scenario: A call that may not be repeated is never sent twice
    Given every server will "fail"
    When "POST /book/x" is sent
    Then the reply is 500 with a signature
    And it reached 1 server

  Scenario Outline: A call that may not be repeated is not, whatever its route allows
    Given every server will "<conduct>"
    When "POST /once/x" is sent
    Then the reply is <status> and it reached 1 server

    Examples:
      | conduct | status |
      | fail    | 500    |
      | close   | 502    |
      | tear    | 502    |

  Scenario: A server that can't be reached was sent nothing
    Given the server "s-1" is down but still listed
    And the server "s-2" is down but still listed
    When "POST /book/x" is sent
    Then the reply is 503 without a signature
    And it says when to come back

  Scenario: A server whose sends fail is not chosen for a while, and the log says so
    Given the server "s-1" is down but still listed
    When "POST /book/x" is sent until the log says that "s-1" is left out
    Then each of them was answered

  Scenario: The deadline ends a request and its run
    Given every server will "hold"
    When "POST /book/x" is sent with 300 ms left
    Then the reply is 504 without a signature
    And the run was cut

  Scenario: The route's time limit ends a request and its run
    Given every server will "hold"
    When "GET /brief/x" is sent
    Then the reply is 504 without a signature
    And the run was cut
    And the server was told to stop within 300 ms

  Scenario Outline: A caller that leaves ends the run at the server
    Given every server will "hold"
    When "<call>" is sent and its caller leaves
    Then the run was cut
    And it was cut because its caller left, and nothing else was sent

    Examples:
      | call         |
      | GET /read/x  |
      | POST /book/x |

  Scenario: The time left is passed on, and what a caller may not set is replaced
    When "POST /book/x" is sent with forged headers
    Then the server saw none of them, and what the system sets

  Scenario: An answer without a length that is reset is not complete
    Given the first answer without a length is reset
    When "GET /read/x" is sent
    Then the reply is 200 with the server's body and signature
    And it reached 2 servers

  Scenario: A server may answer before it has read a long body
    Given every server will "early"
    When a call with a long body is answered before it is read
    Then the reply is 500 with a signature

  Scenario: All processes together keep the retry budget in every window
    When retries are asked for at any times, around restarts of some processes
    Then in no window are there more than the processes may make together
