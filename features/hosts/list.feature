Feature: Following the list of hosts

  Scenario: The latest list stays in use while the service is unavailable
    Given a host list at index 1 with "a live, b live"
    When the list at index 2 becomes "a leaving, b live"
    Then the view is "a leaving, b live"
    When the host list refuses every request
    Then an event "hosts-unreachable" is logged
    And the view is "a leaving, b live"

  Scenario: A list with a lower index is ignored
    Given a host list at index 5 with "a live, b live"
    When the list at index 4 becomes "a live"
    Then an event "hosts-lower" is logged
    And the view is "a live, b live"

  Scenario: A host that is listed twice is logged once, and its live entry is used
    Given a host list at index 1 with "a live"
    When the list at index 2 becomes "a live, b live, a leaving"
    Then the view is "a live, b live"
    And after 3 more reads there is 1 event "host-duplicate"
