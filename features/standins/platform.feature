Feature: The stand-ins of the platform's services
  The configuration service can be read and watched; the host list lags.

  Scenario: A watch answers when something is published
    Given a configuration stand-in with a section "defaults" at index 7
    When a reader watches from index 7
    And an operator publishes sections "defaults" and "class question"
    Then the watch answers index 8 with those sections and their digests

  Scenario: A stale configuration service answers with old content
    Given a configuration stand-in with a section "defaults" at index 7
    When an operator publishes sections "defaults" and "class question"
    Then a read answers index 8
    And a read answers index 7 while the service is stale

  Scenario: Calls above the rate cap are refused
    Given a configuration stand-in that answers 2 calls a second
    Then 2 of 3 calls at one moment are admitted, and 2 more a second later

  Scenario: A refused call is answered 429
    Given a configuration stand-in that answers 0 calls a second
    Then a read and a watch are answered 429 with when to come back

  Scenario: The host list lags
    Given a host list stand-in that lags by 300 seconds
    When host "endpoint-1" is put on the list
    Then the list does not name "endpoint-1"
    When the lag becomes 0 seconds
    Then the list names "endpoint-1"

  Scenario: A plain service logs each call by its mark
    Given a plain service stand-in
    Then each method is run once for each call and answered by its content
