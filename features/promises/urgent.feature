Feature: Urgent work is never shed or preempted for a lower class

  Scenario: A burst of questions at a full fleet with a slow engine
    Given a loopback fleet of 3 engines with 4 slots for the plan "urgent"
    When its plan is run while one engine is slowed by 5 from second 2 to second 6
    Then the history checker finds no violation
    And questions were refused and dossiers were paused
    And no question was paused

  Scenario: Questions that arrive at the same time
    Given a loopback fleet of 2 engines with 8 slots for the plan "at_once"
    When its plan is run
    Then the history checker finds no violation
    And questions were refused and dossiers were paused
    And no question was paused
