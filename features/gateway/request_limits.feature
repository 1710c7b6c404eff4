Feature: Limits on requests are in force on all connections

  Guards against refusing a sound request because its connection was opened, or began
  to wait, under an earlier configuration.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: A changed limit applies to the next request on every connection
    Given 3 connections that have <state>
    When the limit "<limit>" becomes <value>
    And a request with <bytes> bytes in its <part> is sent on each of them
    Then each gets <status>
    When a request with <bytes> bytes in its <part> is sent on a new connection
    Then each gets <status>

    Examples:
      | state              | limit            | value   | bytes   | part   | status |
      | just been opened   | max_body_bytes   | 4194304 | 2000000 | body   | 200    |
      | had a request      | max_body_bytes   | 4194304 | 2000000 | body   | 200    |
      | a request in work  | max_body_bytes   | 4194304 | 2000000 | body   | 200    |
      | sent half a header | max_body_bytes   | 4194304 | 2000000 | body   | 200    |
      | just been opened   | max_body_bytes   | 65536   | 200000  | body   | 413    |
      | had a request      | max_body_bytes   | 65536   | 200000  | body   | 413    |
      | had a request      | max_header_bytes | 65536   | 40000   | header | 200    |
      | just been opened   | max_header_bytes | 65536   | 40000   | header | 200    |

  Scenario: A body that is being received when the limit falls is not refused
    Given 3 connections on which half of 200000 bytes has arrived
    When the limit "max_body_bytes" becomes 65536
    And the other half is sent on each of them
    Then each gets 200
