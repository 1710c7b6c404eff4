Feature: A request that is reported as "not-run" never runs
  Real processes on loopback. The logs of the engine and the service are read
  when the callers have their outcomes, and again when every fault is removed and
  the fleet is idle. The faults are those of at_most_once.feature.

  Scenario: A request that is queued for too long is reported as "not-run" and never runs
    Given a fleet of real processes
    When the engine is busy and 3 requests of class "quick" are sent
    Then they receive "not-run" with a Retry-After header
    And none that received "not-run" ever runs

  Scenario Outline: No <class> request is wrongly reported as "not-run" if <fault> occurs while it is queued
    Given a fleet of real processes
    When the engine is busy and 3 requests of class "<class>" are sent
    And <fault> occurs at the endpoint process while they are queued
    Then none that received "not-run" ever runs

    Examples:
      | class   | fault                |
      | quick   | a freeze             |
      | quick   | a freeze and a kill  |
      | patient | a disconnect         |
      | patient | a partition          |

  Scenario Outline: A request is reported as "unknown" if <fault> occurs while it runs
    Given a fleet of real processes
    When the engine runs a slow request of class "quick"
    And <fault> occurs at the endpoint process while it runs
    Then it receives "unknown"
    And none that received "not-run" ever runs

    Examples:
      | fault               |
      | a kill              |
      | a partition         |
      | a freeze            |

  Scenario: Requests whose deadlines expire at about the time of their start
    Given a fleet of real processes
    When 30 requests of class "quick" are sent as slots are released
    Then some receive "not-run"
    And none that received "not-run" ever runs

  Scenario: A ticket that one entry has refused runs through no other entry
    Given a fleet of real processes
    When a ticket is refused at one entry because the engine is busy
    And it is sent through the other entries when the engine is free
    Then all receive "not-run", and it never runs
