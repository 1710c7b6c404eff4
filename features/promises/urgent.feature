Feature: Urgent work is never shed or preempted for a lower class

  Scenario: Questions in a burst over a full fleet with a slow engine
    Given a loopback fleet of 3 engines with 4 slots that runs "urgent"
    When its plan is run while one engine is slowed by 5 from second 2 to second 6
    Then the checker names no breach in its history
    And questions were refused and dossiers were paused
    And no question was paused

  Scenario: Questions that arrive at once
    Given a loopback fleet of 2 engines with 8 slots that runs "at_once"
    When its plan is run
    Then the checker names no breach in its history
    And questions were refused and dossiers were paused
    And no question was paused
