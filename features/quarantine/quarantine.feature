Feature: Quarantine of prompt segments that crash engines

  Scenario Outline: A segment that crashes engines is found, and sound ones are served
    Given <engines> engines and <gateways> gateways with <sound> sound requests/s
    And <bad> requests/s whose <place> segment crashes an engine within <crash> s
    When the load is played 12 times for <seconds> s
    Then no play has more than 3 sends of the segment from 3 s after the fifth crash
    And in no play over a tenth of the sound requests is refused from 6 s after it

    Examples:
      | engines | gateways | sound | bad | place  | crash | seconds |
      | 5       | 5        | 15    | 2   | second | 0.1   | 40      |
      | 5       | 5        | 15    | 2   | first  | 0.1   | 40      |
      | 5       | 5        | 15    | 2   | only   | 0.1   | 40      |
      | 5       | 5        | 15    | 0.5 | second | 0.1   | 90      |
      | 5       | 5        | 15    | 8   | second | 0.1   | 30      |
      | 5       | 5        | 15    | 2   | second | 0.4   | 40      |
      | 3       | 2        | 6     | 1   | second | 0.1   | 40      |
      | 30      | 20       | 150   | 8   | second | 0.1   | 20      |

  Scenario: Engines that crash now and then for other reasons cause no quarantine
    Given 5 engines and 5 gateways with 15 sound requests/s
    And 1 engine crashes without a cause every 20 s on average
    When the load is played 12 times for 200 s
    Then no sound segment is quarantined

  Scenario: Engines that crash together for another reason cause no quarantine
    Given 30 engines and 10 gateways with 60 sound requests/s
    And 5 engines crash without a cause every 15 s on average
    When the load is played 4 times for 60 s
    Then no sound segment is quarantined

  Scenario: A gateway without connections to the others does not mislead them
    Given 5 engines and 5 gateways with 15 sound requests/s
    And 2 requests/s whose second segment crashes an engine within 0.1 s
    And 1 gateway exchanges nothing with the others
    When the load is played 12 times for 40 s
    Then the connected gateways keep to 3 sends of the segment

  Scenario: A quarantine that is over is confirmed by the first crash
    Given a gateway that has quarantined the segment "bad"
    When its quarantine is over and a request with it crashes an engine
    Then requests with the segment "bad" are refused for 2 hours

  Scenario: A segment whose request is answered after its quarantine is sound
    Given a gateway that has quarantined the segment "bad"
    When its quarantine is over and a request with it is answered
    Then requests with the segment "bad" are sent
    And they are sent also after a crash

  Scenario: An engine that answers after a suspected crash has not crashed
    Given a gateway that has seen 2 crashes under the segment "bad"
    When the engine of a third one answers another request
    Then requests with the segment "bad" are sent

  Scenario: A starting gateway adopts the quarantines of the others
    Given a gateway that has quarantined the segment "bad"
    When another gateway connects to it
    Then the other gateway refuses requests with the segment "bad"
