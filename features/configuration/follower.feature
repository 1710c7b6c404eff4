Feature: Following the configuration service

  Scenario: A published revision is in force soon, a mistaken one never
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    When "attempts = 3" is published as "attempts = 400"
    Then an event "revision-refused" names "defaults", "attempts" and "400"
    And the process has 4 attempts in force
    When "attempts = 3" is published as "attempts = 5"
    Then the process has 5 attempts in force

  Scenario: A stale service and a restarted one revert nothing
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    When the service becomes stale
    Then an event "revision-lower" is written
    And the process has 4 attempts in force
    When the service is restarted with a lower index and other content
    Then the process asks it and has 4 attempts in force

  Scenario: A silent service holds up no process for ever
    Given a configuration service with the declarations of kilometerwerk
    And the service is silent
    And a process that follows it
    When it looks for the newest revision for 0.2 s
    Then it gives up in time, with what it had at the start
    When the service answers again
    Then the process has 3 attempts in force

  Scenario: Peers hand a revision on, and the service is not asked
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it
    And a peer with a stream to it, whose service does not answer
    When "attempts = 3" is published as "attempts = 4"
    Then the peer has 4 attempts in force
    And the peer was sent only the section that changed

  Scenario: A process that hears from nobody asks the service itself
    Given a configuration service with the declarations of kilometerwerk
    And a process that follows it, but is no reader
    When "attempts = 3" is published as "attempts = 4"
    Then the process has 4 attempts in force
    And the service was asked at most 20 times a second
