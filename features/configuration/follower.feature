Feature: Following the configuration service

  Scenario: A published revision comes into force, an invalid one is refused
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    When "attempts = 3" is published as "attempts = 400"
    Then an event "revision-refused" reports "defaults", "attempts" and "400"
    And the process has 4 attempts in force
    When "attempts = 3" is published as "attempts = 5"
    Then the process has 5 attempts in force

  Scenario: Neither a stale nor a restarted service reverts a revision
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    When the service becomes stale
    Then an event "revision-lower" is logged
    And the process has 4 attempts in force
    When the service is restarted with a lower index and other content
    Then the process reads it and has 4 attempts in force

  Scenario: A service that does not answer delays a start for a bounded time
    Given a configuration service with the declarations of kilometerwerk
    And the service is silent
    And a process that follows it
    When it waits for the newest revision for at most 0.2 s
    Then the wait times out and the initial revision is in force
    When the service answers again
    Then the process has 3 attempts in force

  Scenario: A process sends a new revision to a peer whose service does not answer
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    And a peer that is connected to it, whose service does not answer
    When "attempts = 3" is published as "attempts = 4"
    Then the peer has 4 attempts in force
    And the peer was sent only the section that changed

  Scenario: A process without reports from peers reads the service itself
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it, but is not a reader
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    And the service was read at most 20 times a second

  Scenario: A large revision comes into force although it takes longer than a timeout
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it over a narrow link
    When "attempts = 3" is published as "attempts = 4" with 3000 workspaces more
    Then the process has 4 attempts in force
    And the service was read once for it

  Scenario: An answer of the service that does not end is given up
    Given a configuration service whose answers do not end
    When a process follows it
    Then an event "configuration-unreachable" is logged
    And at most 16 MB were sent to it
