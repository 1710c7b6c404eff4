Feature: Request rates that gateways share

  Scenario Outline: Gateways keep to a rate together and use it
    Given <gateways> gateways, of which <cut_off> hear of no other
    And an endpoint that takes <rate> requests per second
    When <demand> requests per second are offered to them for 60 s
    Then no 4 s have more than 1.5 times the rate and 5 requests
    And at least <used> of the rate is used

    Examples:
      | gateways | cut_off | rate | demand | used |
      | 5        | 0       | 1    | 20     | 0.6  |
      | 5        | 0       | 1    | 2      | 0.5  |
      | 5        | 0       | 0.25 | 20     | 0.6  |
      | 5        | 0       | 2.5  | 50     | 0.6  |
      | 5        | 0       | 40   | 100    | 0.6  |
      | 5        | 2       | 2    | 50     | 0.4  |
      | 5        | 5       | 1    | 50     | 0.4  |
      | 68       | 0       | 1    | 200    | 0.6  |
      | 68       | 68      | 1    | 200    | 0.4  |
      | 68       | 28      | 1    | 200    | 0.4  |
      | 300      | 0       | 10   | 2400   | 0.6  |

  Scenario: Gateways keep to a rate that falls and rises
    Given 5 gateways, of which 0 hear of no other
    And an endpoint that takes 20 requests per second
    When 50 requests per second are offered to them for 20 s
    And the endpoint takes 1 request per second
    And 50 requests per second are offered to them for 20 s
    Then no 4 s of the last 16 s have more than 11 requests
    When the endpoint names no rate
    Then a request may be sent to it now

  Scenario: A rate of zero leaves single requests that show when it ends
    Given 5 gateways, of which 0 hear of no other
    And an endpoint that takes 0 requests per second
    When 20 requests per second are offered to them for 60 s
    Then no 4 s have more than 1.5 times the rate and 5 requests
    And at least 3 requests are sent

  Scenario Outline: Gateways agree on a limit although reports about it cross
    Given <gateways> gateways that hear of <peers> others, up to 0.5 s late
    And an endpoint whose rate changes every 0.1 s for 10 s and is <rate> from then on
    When <demand> requests per second are sent to it and answered for 60 s
    Then all gateways know the rate <rate> in all of 20 plays

    Examples:
      | gateways | peers | rate | demand |
      | 3        | 2     | none | 50     |
      | 3        | 2     | 2.0  | 50     |
      | 8        | 7     | none | 100    |
      | 12       | 4     | none | 100    |
      | 12       | 4     | 0.5  | 100    |
