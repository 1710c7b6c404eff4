Feature: Every class is served

  Scenario: Questions above capacity for the whole run do not starve a dossier
    Given a loopback fleet of 1 engines with 4 slots for the plan "starvation"
    And the maximum wait for a floor of 0.2 if a slot is released every 0.5 s
    When its plan is run
    Then the history checker finds no violation
    And more questions arrived than started in each of the seconds 1 to 9
    And every dossier was admitted, paused and answered completely
