Feature: The fleet script
  It starts a fleet, records its processes, and leaves none of them running.

  Scenario: A fleet is started and stopped
    When the script brings up 2 entries, 2 endpoints and 1 service
    Then the fleet has 2 entry, 3 endpoint, 2 engine, 1 service, 1 configuration and 1 hosts processes
    And all processes of the fleet are running
    And the settings of every daemon are accepted
    When the script brings the fleet down
    Then no process of the fleet is running

  Scenario: A fleet that fails to start leaves no process running
    When the script brings up a fleet whose files cannot be written
    Then the script fails and no process of the fleet is running

  Scenario: Processes that choose ports at the same time never choose the same one
    When 8 processes choose 250 free ports each and keep running
    Then no port was chosen twice
