Feature: Every class is served

  Scenario: Questions above capacity for the whole run do not starve a dossier
    Given a loopback fleet of 1 engines with 4 slots that runs "starvation"
    And the bound on waits that a floor of 0.2 sets if slots are released every 0.5 s
    When its plan is run
    Then the checker names no breach in its history
    And more questions arrived than started in each of the seconds 1 to 9
    And every dossier was admitted, was paused and came whole
