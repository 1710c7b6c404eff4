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
