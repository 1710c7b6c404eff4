Feature: Servers that name how many requests a second they take

  Background:
    Given a store with the usual configuration

  Scenario Outline: All gateways together keep to the limit that a server names
    Given the servers "s-1 s-2" are listed
    And 3 connected gateways
    And the server "s-1" names the limit "<limit>" in all answers
    When 90 requests "<request>" are sent to the gateways in turn
    Then in no 4 s "s-1" received over 1.5 times its limit and 5 requests
    And all callers got the server's answer

    Examples:
      | limit | request     |
      | 1     | GET /read/x |
      | 0.25  | GET /read/x |
      | 2.50  | POST /book/x |
      | 0     | GET /read/x |

  Scenario: A limit ends when the server's answers name it no more
    Given the servers "s-1" are listed
    And 3 connected gateways
    And the server "s-1" names the limit "1" in all answers
    When 10 requests "GET /read/x" are sent to the gateways in turn
    Then the other callers get 503 with a time when the server takes a request
    When the server "s-1" names no limit any more
    And 60 seconds pass for the limits of all gateways
    And 1 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And the gateways know the limits "" for the server "s-1"
    When 10 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer

  Scenario: A gateway that starts learns the limits from the others
    Given the servers "s-1 s-2" are listed
    And 2 connected gateways
    And the server "s-1" names the limit "0.5" in all answers
    When 20 requests "GET /read/x" are sent to the gateways in turn
    And another gateway starts
    Then it knows a limit of 0.5 for the server "s-1"

  Scenario Outline: Values that are no decimal number set no limit and lift none
    Given the servers "s-1" are listed
    And 2 connected gateways
    And the server "s-1" names the limit "<before>" in all answers
    When 20 requests "GET /read/x" are sent to the gateways in turn
    And the server "s-1" names the limit "<after>" in all answers
    And 60 seconds pass for the limits of all gateways
    And 20 requests "GET /read/x" are sent to the gateways in turn
    Then a caller got the server's answer
    And the gateways know the limits "<known>" for the server "s-1"

    Examples:
      | before | after         | known |
      | soon   | -1            |       |
      | nan    | 1e3           |       |
      | 1      | ten           | 1.0   |
      | 1      | 0.5, 2        | 1.0   |
      | 1      | 3.25          | 3.25  |
      | 1      | 9999999999999 | 1.0   |
