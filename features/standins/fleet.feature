Feature: The fleet script
  It starts a fleet, lists it, and leaves no process behind.

  Scenario: A fleet goes up and down
    When the script brings up 2 entries, 2 endpoints and 1 service
    Then the list has 2 entry, 3 endpoint, 2 engine, 1 service, 1 configuration and 1 hosts processes
    And all of them run
    And the settings of every daemon are accepted
    When the script brings the fleet down
    Then none of them runs

  Scenario: A fleet that cannot come up leaves no process
    When the script brings up a fleet whose files cannot be written
    Then it fails and none of the listed processes runs
