Feature: An endpoint process ends attempts whose answers break off as unknown

  Guards against an answer without a length whose connection ended while a long request
  was still being sent, and which counted as complete; and against a status line that
  ended the receiving of the answer, so that the attempt never ended.

  Scenario Outline: A part of an answer to a long upload is not complete: <kind>, <end>
    Given an endpoint process for <kind> that answers "HTTP/1.1 200 OK\r\n\r\na part", and whose connection is <end>
    When attempt "a" with a body of 2000000 bytes is offered
    Then "a" ends as "unknown"

    Examples:
      | kind    | end                   |
      | service | reset                 |
      | service | reset at once         |
      | service | closed                |
      | service | closed and then reset |
      | engine  | reset                 |
      | engine  | closed and then reset |

  Scenario: An answer without a length to an upload that was received is complete
    Given an endpoint process for a service that reads each request before it answers "HTTP/1.1 200 OK\r\n\r\nall of it"
    When attempt "a" with a body of 2000000 bytes is offered
    Then "a" ends as "done"

  Scenario Outline: An answer without a valid status is none: <kind>, <line>, <fields>
    Given an endpoint process for <kind> that answers "<line>\r\n<fields>\r\ndata: [DONE]\n\n", and whose connection is closed
    When attempt "a" with a body of 100 bytes is offered
    Then "a" ends as "unknown" and has no answer

    Examples:
      | kind    | line                         | fields                 |
      | service | HTTP/1.1 000 Trouble         | Content-Length: 14\r\n |
      | service | HTTP/1.1 000 Trouble         |                        |
      | service | HTTP/1.1 099 Trouble         | Content-Length: 14\r\n |
      | service | HTTP/1.1 2000 OK             | Content-Length: 14\r\n |
      | service | HTTP/1.1 20 OK               | Content-Length: 14\r\n |
      | service | HTTP/1.1 101 Switching       |                        |
      | engine  | HTTP/1.1 000 Trouble         | Content-Length: 14\r\n |
      | engine  | HTTP/1.1 2000 OK             | Content-Length: 14\r\n |
      | engine  | HTTP/1.1 101 Switching       |                        |

  Scenario Outline: An answer whose head breaks off is none: <kind>, after "<head>", <end>
    Given an endpoint process for <kind> that answers "<head>", and whose connection is <end>
    When attempt "a" with a body of 100 bytes is offered
    Then "a" ends as "unknown" and has no answer

    Examples:
      | kind    | head                                                      | end    |
      | service | HTTP/1.1 200                                              | closed |
      | service | HTTP/1.1 200 OK\r\n                                       | closed |
      | service | HTTP/1.1 200 OK\r\nContent-Le                             | closed |
      | service | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n                  | closed |
      | service | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n                  | reset  |
      | service | HTTP/1.1 200 OK\r\nContent-Length: 12\r\n                 | closed |
      | service | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n         | closed |
      | service | HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r         | closed |
      | service | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n          | closed |
      | engine  | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n                  | closed |
      | engine  | HTTP/1.1 200 OK\r\n                                       | reset  |

  Scenario Outline: An order whose answer has a broken head is not confirmed: "<head>"
    Given an endpoint process for engine that answers "<head>", and whose connection is closed
    When an order is sent to the engine
    Then the order has <result>

    Examples:
      | head                                              | result    |
      | HTTP/1.1 200 OK\r\n                               | failed    |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n          | failed    |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n      | succeeded |
