Feature: Cold endpoints get no more requests than they bear

  An endpoint that has just started crashes under the traffic of a warm one
  (rule FAILBACK), whichever gateway sends it.

  Background:
    Given a store whose service bears 2 requests a second while it is cold for 1000 ms

  Scenario: All gateways together keep to the allowance of a cold endpoint
    Given the servers "s-1" are listed as cold for 9000 ms
    And 3 connected gateways
    And the gateways have had time to learn of each other
    When 90 requests "GET /read/x" are sent to the gateways in turn
    Then in no second "s-1" received over 8 requests
    And "s-1" received at least 1 requests
    And the other callers get 503 with a time when the server takes a request

  Scenario: A gateway that knows no others sends nothing to a cold endpoint
    Given the servers "s-1" are listed as cold for 9000 ms
    And a gateway that is ready
    When "GET /read/x" is sent
    Then the reply is 503 without a signature
    And the reply has a Retry-After header
    And no server has run it

  Scenario: Warm endpoints take the traffic of an endpoint that is listed during traffic
    Given the servers "s-1" are listed
    And 2 connected gateways
    And the gateways have had time to learn of each other
    When 4 requests "GET /read/x" are sent to the gateways in turn
    And the server "s-2" is listed while requests come
    And 20 requests "GET /read/y" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-1" has received requests
    When the server "s-2" is warm
    And 20 requests "GET /read/z" are sent to the gateways in turn
    Then all callers got the server's answer
    And "s-2" received at least 1 requests

  Scenario Outline: An endpoint becomes cold during traffic
    Given the servers "s-1 s-2" are listed
    And 2 connected gateways
    And the gateways have had time to learn of each other
    When <event>
    And 20 requests "GET /read/y" are sent to the gateways in turn
    Then all callers got the server's answer
    And "s-2" received at most <most> requests

    Examples:
      | event                                              | most |
      | the server "s-2" starts again with the same id     | 0    |
      | the entry of "s-2" says that it is cold for 5000 ms | 0    |
      | the answers of "s-2" say that it is cold for 5000 ms | 2  |

  Scenario: The endpoints of a data centre are cold once its evacuation is revoked
    Given the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 2 connected gateways
    And the gateways have had time to learn of each other
    When the data centre "a" is evacuated
    And the evacuation of the data centre "a" is revoked
    And 20 requests "GET /read/y" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-2" has received requests

  Scenario: Nothing changes for a service without cold behaviour
    Given the service has no cold behaviour
    And the servers "s-1" are listed as cold for 9000 ms
    And a gateway that is ready
    Then 12 calls in a row succeed

  Scenario: A gateway's first read of the store does not make endpoints cold
    Given the servers "s-1" are listed
    And a gateway that is ready
    Then 12 calls in a row succeed
