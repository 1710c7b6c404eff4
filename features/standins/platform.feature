Feature: The stand-ins of the platform's services
  The configuration service can be read and watched; the host list is delayed.

  Scenario: A watch is answered when a revision is published
    Given a configuration stand-in with a section "defaults" at index 7
    When a reader watches for a revision after index 7
    And an operator publishes sections "defaults" and "class question"
    Then the watch returns index 8 with those sections and their digests

  Scenario: A stale configuration service returns the previous revision
    Given a configuration stand-in with a section "defaults" at index 7
    When an operator publishes sections "defaults" and "class question"
    Then a read returns index 8
    And a read returns index 7 while the service is stale

  Scenario: Calls above the rate limit are refused
    Given a configuration stand-in with a rate limit of 2 calls per second
    Then 2 of 3 simultaneous calls are admitted, and 2 of 3 more one second later

  Scenario: A refused call is answered 429
    Given a configuration stand-in with a rate limit of 0 calls per second
    Then a read and a watch are answered 429 with a Retry-After header

  Scenario: The host list is delayed
    Given a host list stand-in with a delay of 300 seconds
    When host "endpoint-1" is added to the list
    Then the served list does not contain "endpoint-1"
    When the delay is set to 0 seconds
    Then the served list contains "endpoint-1"

  Scenario: A plain service logs each call by its mark
    Given a plain service stand-in
    Then each call is executed once and answered by its method, path and body
