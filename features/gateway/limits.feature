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
