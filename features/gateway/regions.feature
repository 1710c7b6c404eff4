Feature: Routes and workspaces that are bound to regions

  A request that is bound to a region must not leave it, also if nothing else serves
  (rule HOME).

  Background:
    Given the data centres "a=north b=south c=south"

  Scenario Outline: A request reaches endpoints in the allowed regions only
    Given a configuration whose route allows "<route>" and whose workspace allows "<workspace>"
    And the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 1 connected gateways
    When 8 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "<server>" has received requests

    Examples:
      | route       | workspace   | server |
      | south       |             | s-2    |
      |             | south       | s-2    |
      | north south | south       | s-2    |
      | north       | north south | s-1    |

  Scenario Outline: Without an endpoint in an allowed region a request is rejected
    Given a configuration whose route allows "<route>" and whose workspace allows "<workspace>"
    And the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "<zone>"
    And 1 connected gateways
    When "GET /read/x" is sent
    Then the reply is 503 without a signature
    And the reply has a Retry-After header
    And no server has run it

    Examples:
      | route | workspace | zone    |
      | east  |           | b       |
      | north | south     | b       |
      | south |           | unknown |

  Scenario: A retry stays in the allowed regions
    Given a configuration whose route allows "south" and whose workspace allows ""
    And the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 1 connected gateways
    And every server behaves as "reset"
    When "GET /read/x" is sent
    Then only the server "s-2" has received requests
