Feature: What servers report of themselves in their answers

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: A server that reports its leaving in an answer gets no more requests
    Given the server "s-1" reports its leaving in all answers
    And every server behaves as "<behaviour>"
    When "GET /read/x" is sent until "s-1" has answered
    And "GET /read/x" is sent 10 times with the key "key-1"
    Then the server "s-1" has received 1 request
    And the log has 1 event "endpoint-leaving"

    Examples:
      | behaviour |
      | answer    |
      | fail      |
      | shed      |

  Scenario: The entry of a server that has reported its leaving does not revert it
    Given the server "s-1" reports its leaving in all answers
    When "GET /read/x" is sent until "s-1" has answered
    And the server "s-1" writes its entry again
    And "GET /read/x" is sent 10 times with the key "key-1"
    Then the server "s-1" has received 1 request

  Scenario: A server that sheds with Retry-After gets nothing until that time is over
    Given the server "s-1" sheds all requests for 60 seconds
    When "GET /read/x" is sent until "s-1" has answered
    And "GET /read/x" is sent 10 times with the key "key-1"
    Then the server "s-1" has received 1 request
    And the log has 1 event "endpoint-cooldown"
    When 61 seconds have passed and the server "s-1" sheds no more
    And "GET /read/x" is sent until "s-1" has answered
    Then the server "s-1" has received 2 requests

  Scenario: With every server in its Retry-After time callers are refused immediately
    Given the server "s-1" sheds all requests for 60 seconds
    And the server "s-2" sheds all requests for 90 seconds
    When "GET /read/x" is sent until every server has answered
    And "POST /book/x" is sent 10 times with the key "key-1"
    Then each reply is 503 with a different Retry-After from 59 to 90 seconds
    And the server "s-1" has received 1 request
    And the server "s-2" has received 1 request

  Scenario: An invalid Retry-After is ignored
    Given the server "s-1" sheds all requests with the Retry-After "soon"
    When "GET /read/x" is sent until "s-1" has answered
    Then the log has 0 events "endpoint-cooldown"

  Scenario: The cached segments of a model server that sheds are not read either
    Given a model server that sheds the reading of its cached segments for 60 seconds
    Then it is read no more and gets no prompt
