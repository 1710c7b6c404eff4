Feature: The daemon's life, and the verbs that talk to it

  Scenario: A process tells its status and drains when it is told to
    Given a fleet with 1 entry and 1 endpoint
    When the command asks the endpoint for "status --json"
    Then it exits with 0 and prints JSON where "role" is "endpoint"
    And it prints JSON where "revision.index" is "1"
    When the command asks the endpoint for "drain"
    Then it exits with 0
    And the endpoint's log ends with the event "shutdown-ended"

  Scenario: A chat request is sent and explained
    Given a fleet with 1 entry and 1 endpoint
    When the command sends a chat request through the entry
    Then it exits with 0 and prints the engine's text
    When the command explains that request from the fleet's logs
    Then it exits with 0 and prints, in this order, "attempt-routed attempt-placed request-ended"

  Scenario: A process that drains is not ready, and ends when it is done
    Given a process with a request in flight
    When it receives SIGTERM
    Then it is not ready
    And when the request ends it stops with code 0

  Scenario: A second signal ends the process at once
    When a process whose drain never ends is sent SIGTERM twice
    Then its process has ended with code 4

  Scenario: A drain that does not end in time has a code of its own
    Given a process that leaves 2 requests when it drains
    When it receives SIGTERM
    Then it stops with code 3

  Scenario: A follower that fails is run again
    Given a task that raises once
    When it is supervised
    Then it runs twice, and an event names the exception

  Scenario: A published revision is in force in every process of a fleet
    Given a fleet with 1 entry and 1 endpoint
    When the operators publish other declarations
    Then every process says that the new revision is in force
