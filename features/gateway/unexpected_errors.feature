Feature: Whatever goes wrong within a request, its caller gets one end at once

  Guards against an exception that nobody handles: the connection stayed open without a
  further byte until the caller gave up.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: An exception ends the request
    Given <function> raises <error>
    When "<path>" is sent and the exception is raised
    Then its caller gets <end> within 1 s
    And the exception is logged with the request's id, and nothing is in flight
    And the next requests succeed

    Examples:
      | function        | error              | path    | end              |
      | read_request    | ValueError         | /read/x | 502              |
      | match_request   | KeyError           | /read/x | 502              |
      | select          | RuntimeError       | /book/x | 502              |
      | write_request   | UnicodeEncodeError | /book/x | 502              |
      | write_headers   | ValueError         | /book/x | 502              |
      | open_stream     | MemoryError        | /read/x | 502              |
      | open_stream     | OSError            | /book/x | 502              |
      | read_answer     | ValueError         | /read/x | 502              |
      | read_answer     | ValueError         | /tell/x | 502              |
      | relay           | ValueError         | /tell/x | 502              |
      | relay later     | ValueError         | /tell/x | a cut answer     |
      | relay later     | RecursionError     | /gaps/x | a cut answer     |
      | record_event    | ZeroDivisionError  | /tell/x | a cut answer     |
      | record_result   | KeyError           | /read/x | 502              |

  Scenario Outline: A wrong byte in the id of an event breaks the stream off
    Given the id of event <number> of every first stream is <id>
    When "GET <path>" is sent
    Then <result>

    Examples:
      | number | id     | path      | result                                                  |
      | 3      | \xb3   | /tell/x   | the reply is incomplete and ends after a complete event |
      | 3      | \xb9   | /gaps/x   | the reply is 200 with every event once and in order     |
      | 3      | x      | /gaps/x   | the reply is 200 with every event once and in order     |
      | 3      | \xff   | /resume/x | the reply is 200 with every event once and in order     |
      | 3      | 5000 9 | /gaps/x   | the reply is 200 with every event once and in order     |
