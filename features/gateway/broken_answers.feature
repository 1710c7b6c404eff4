Feature: Answers that break off are never forwarded as complete

  Guards against an answer without a length whose connection ended while a long request
  was still being sent: its part was forwarded as the whole body.

  Background:
    Given a store with the usual configuration

  Scenario Outline: A part of an answer to a long upload is not complete: <path>, <end>
    Given a server that answers "<answer>" without a length, and whose connection is <end>
    And a gateway that is ready
    When "POST <path>" is sent with a body of 900000 bytes
    Then the reply is not a complete success
    And the ended send is logged with a problem

    Examples: Plain answers
      | path    | answer        | end                   |
      | /book/x | a part of it  | reset                 |
      | /book/x | a part of it  | reset at once         |
      | /book/x | a part of it  | closed                |
      | /book/x | a part of it  | closed and then reset |
      | /read/x | a part of it  | reset                 |
      | /read/x | a part of it  | closed and then reset |
      | /book/x |               | reset                 |
      | /book/x |               | closed and then reset |

    Examples: Streams
      | path      | answer              | end                   |
      | /tell/x   | id: 1\ndata: x\n\n  | reset                 |
      | /tell/x   | id: 1\ndata: x\n\n  | closed and then reset |
      | /resume/x | id: 1\ndata: x\n\n  | reset                 |
      | /resume/x | id: 1\ndata: x\n\n  | closed and then reset |

  Scenario: An answer without a length to an upload that was received is complete
    Given a server that reads each request, and then answers "all of it" without a length
    And a gateway that is ready
    When "POST /book/x" is sent with a body of 900000 bytes
    Then the reply is 200 with a signature

  Scenario: An answer without a body is complete before the upload is
    Given a server that sends the signed head "HTTP/1.1 204 No Content", and whose connection is closed and then reset
    And a gateway that is ready
    When "POST /book/x" is sent with a body of 900000 bytes
    Then the reply is 204 with a signature

  Scenario Outline: An answer without a valid status is none: <request>, <line>
    Given a server that sends "<line>" with a signed <body>, and whose connection is closed
    And a gateway that is ready
    When "<request>" is sent
    Then the reply is 502 without a signature
    And the ended send is logged with the problem "<problem>"

    Examples:
      | request       | line                 | body                  | problem      |
      | POST /book/x  | HTTP/1.1 000 Trouble | body                  | status 000   |
      | POST /book/x  | HTTP/1.1 000 Trouble | empty body            | status 000   |
      | POST /book/x  | HTTP/1.1 000 Trouble | body without a length | status 000   |
      | POST /book/x  | HTTP/1.1 099 Trouble | body                  | status 099   |
      | POST /book/x  | HTTP/1.1 2000 OK     | body                  | malformed    |
      | POST /book/x  | HTTP/1.1 0200 OK     | body                  | malformed    |
      | POST /book/x  | HTTP/1.1 101 Switch  | body without a length | malformed    |
      | GET /read/x   | HTTP/1.1 000 Trouble | body                  | status 000   |
      | GET /tell/x   | HTTP/1.1 000 Trouble | body                  | status 000   |
      | GET /resume/x | HTTP/1.1 000 Trouble | body                  | status 000   |

  Scenario Outline: An answer whose head breaks off is none: <request>, after "<head>", <end>
    Given a server that sends the bytes "<head>", and whose connection is <end>
    And a gateway that is ready
    When "<request>" is sent
    Then the reply is 502 without a signature
    And the ended send is logged with a problem

    Examples: Plain answers
      | request      | head                                                                     | end    |
      | POST /book/x | HTTP/1.1 200                                                             | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n                                                      | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}Content-Le                                    | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}Content-Length: 0\r\n                         | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}Content-Length: 0\r\n                         | reset  |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}Content-Length: 12\r\n                        | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n                | closed |
      | POST /book/x | HTTP/1.1 200 OK\r\n{signed}\r                                            | closed |
      | POST /book/x | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{signed}                 | closed |
      | GET /read/x  | HTTP/1.1 200 OK\r\n{signed}Content-Length: 0\r\n                         | closed |

    Examples: Streams
      | request       | head                                                                    | end    |
      | GET /tell/x   | HTTP/1.1 200 OK\r\n{signed}                                             | closed |
      | GET /tell/x   | HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n               | reset  |
      | GET /resume/x | HTTP/1.1 200 OK\r\n{signed}Content-Length: 0\r\n                        | closed |
