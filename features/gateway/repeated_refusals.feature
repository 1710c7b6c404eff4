Feature: A server writes an earlier refusal once more

  Guards against taking a refusal for the answer to another request on the connection,
  which would be reported as not run although its server runs it.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: The stand-in answers the next request on a kept connection wrongly
    When two requests are sent to a server on one connection, and the first is <refused>
    Then the second got the refusal although the server has run it

    Examples:
      | refused             |
      | shed-again          |
      | shed-again-nameless |

  Scenario Outline: No other request is reported as not run, and none runs twice
    Given every other request at each server is <refused>
    When <count> requests "POST <path>" are sent, <at_once> at a time
    Then those that were answered 503 have not run, and the others have run once
    And each connection to a server had one request

    Examples:
      | refused             | path     | count | at_once |
      | shed-again          | /book/x  | 20    | 1       |
      | shed-again          | /book/x  | 40    | 10      |
      | shed-again          | /once/x  | 40    | 10      |
      | shed-again-nameless | /book/x  | 20    | 1       |
      | shed-again-nameless | /book/x  | 40    | 10      |
      | shed-again-nameless | /once/x  | 40    | 10      |
