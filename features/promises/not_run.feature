Feature: "Not run" is true
  Real processes on loopback.  The logs of the engine and the service are read
  when the callers have been told, and again after all is mended and quiet.

  Scenario: A request that waits for too long is told not to have run, and never runs
    Given a fleet of real processes
    When the engine is busy and 3 requests of class "quick" are sent
    Then they are told "not-run" with a time to come back
    And none that was told "not-run" ever runs

  Scenario Outline: A <class> request that waits while <fault> is never told wrongly that it did not run
    Given a fleet of real processes
    When the engine is busy and 3 requests of class "<class>" are sent
    And <fault> meets the endpoint process while they wait
    Then none that was told "not-run" ever runs

    Examples:
      | class   | fault                |
      | quick   | a freeze             |
      | quick   | a freeze and a kill  |
      | patient | a cut                |
      | patient | a split              |

  Scenario Outline: A request that runs while <fault> is told "unknown"
    Given a fleet of real processes
    When the engine runs a slow request of class "quick"
    And <fault> meets the endpoint process while it runs
    Then it is told "unknown"
    And none that was told "not-run" ever runs

    Examples:
      | fault               |
      | a kill              |
      | a split             |
      | a freeze            |

  Scenario: Deadlines that race with the start are told truly
    Given a fleet of real processes
    When 30 requests of class "quick" are sent as slots come free
    Then some are told "not-run"
    And none that was told "not-run" ever runs

  Scenario: A ticket that one entry is refused with is run through no other
    Given a fleet of real processes
    When a ticket is refused at one entry because the engine is busy
    And it is sent through the others once the engine is free
    Then all are told that it did not run, and it never runs
