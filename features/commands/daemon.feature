Feature: Shutdown and status of the daemon, and the verbs for operators and callers

  Scenario: A process reports its status and drains on request
    Given a fleet with 1 entry and 1 endpoint
    When the command sends the endpoint process "status --json"
    Then it exits with 0 and prints JSON where "role" is "endpoint"
    And it prints JSON where "revision.index" is "1"
    When the command sends the endpoint process "drain"
    Then it exits with 0
    And the endpoint process logs the event "shutdown-ended"

  Scenario: A chat request is sent and explained
    Given a fleet with 1 entry and 1 endpoint
    When the command sends a chat request through the entry
    Then it exits with 0 and prints the engine's text
    When the command explains that request from the fleet's logs
    Then it exits with 0 and prints, in this order, "attempt-routed attempt-placed request-ended"

  Scenario: A draining process is not ready and exits when it has no requests in flight
    Given a daemon with 1 request in flight
    When the daemon receives SIGTERM
    Then the daemon is not ready
    And when the request ends the daemon exits with code 0

  Scenario: A second signal forces an immediate exit
    When a process whose drain never ends receives SIGTERM twice
    Then the process has exited with code 4

  Scenario: A drain that exceeds its limit has its own exit code
    Given a daemon whose drain ends with 2 requests in flight
    When the daemon receives SIGTERM
    Then the daemon exits with code 3

  Scenario: A background task that raises an exception is restarted
    Given a task that raises an exception in its first run
    When the task is supervised
    Then the task runs twice, and an event reports the exception

  Scenario: A published revision comes into force in every process of a fleet
    Given a fleet with 1 entry and 1 endpoint
    When the operators publish changed declarations
    Then every process reports that the new revision is in force
