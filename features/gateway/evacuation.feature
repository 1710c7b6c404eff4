Feature: Endpoints of an evacuated data centre

  An operator evacuates a data centre before work on it, and cold endpoints that get full
  traffic when the work is over crash (rules EVAC and FAILBACK).

  Background:
    Given a store with the usual configuration

  Scenario: Nothing is sent to an evacuated data centre
    Given the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 2 connected gateways
    When the data centre "a" is evacuated
    And 12 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-2" has received requests

  Scenario: A gateway that reaches only its peers keeps to the evacuation
    Given the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 2 connected gateways
    And the store connection of the first gateway is refused
    When the data centre "a" is evacuated
    And 12 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-2" has received requests

  Scenario: Two data centres are evacuated one after the other, and nothing is left
    Given the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 1 connected gateways
    When the data centre "a" is evacuated
    And the data centre "b" is evacuated
    And "GET /read/x" is sent
    Then the reply is 503 without a signature
    And the reply has a Retry-After header
    And no server has run it
    When the evacuation of the data centre "b" is revoked
    And 6 requests "GET /read/y" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-2" has received requests

  Scenario: A running stream goes on
    Given the servers "s-1" are listed
    And 1 connected gateways
    When "GET /tell/x" is sent and the data centre "a" is evacuated after its first event
    Then the reply is 200 with every event once and in order

  Scenario: A request is not sent again to an evacuated data centre
    Given the servers "s-1 s-2" are listed
    And 1 connected gateways
    When "GET /read/x" is sent and the data centre "a" is evacuated before its server crashes
    Then the reply is 502 without a signature
    And the request reached 1 server

  Scenario Outline: A store that is restored from an older copy does not revoke it
    Given the servers "s-1" are listed
    And the servers "s-2" are listed in the data centre "b"
    And 1 connected gateways
    And a copy of the store
    When the data centre "a" is evacuated
    And the store is restored from the copy
    And 6 requests "GET /read/x" are sent to the gateways in turn
    Then only the server "s-2" has received requests
    When the data centre "a" is evacuated again and <then>
    Then the gateway <uses> the server "s-1"

    Examples:
      | then    | uses         |
      | revoked | uses         |
      | kept    | does not use |

  Scenario: An engine in an evacuated data centre is not asked for its cached segments
    Given the data centre "a" is evacuated before the gateways start
    And a model server that was listed before
    And 1 connected gateways
    Then nobody has read the cached segments of a model server
