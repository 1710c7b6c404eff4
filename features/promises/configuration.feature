Feature: An accepted configuration is in force within seconds and never reverts
  Judged on real processes by their status and their logs.

  Scenario: A burst, a race of two operators and a mistake end in one revision
    Given a running fleet of 2 entries and 2 endpoints
    When two operators publish 15 revisions each at the same time
    Then every process has the highest revision in force within 9 seconds
    And no process asked the service more than once a second
    When an operator publishes a mistake
    Then every process logs its section, key and value
    And every process has the highest revision in force within 9 seconds
    When an operator publishes a good revision
    Then every process has the highest revision in force within 9 seconds
    And no process ever went to a lower revision

  Scenario: A stale service and one with old content revert nothing, a starting process included
    Given a running fleet of 2 entries and 2 endpoints
    When an operator publishes a good revision
    Then every process has the highest revision in force within 9 seconds
    When the service becomes stale for all
    And endpoint-0 is restarted
    Then endpoint-0 becomes ready with the highest revision
    When the service is restarted with the content of the start
    And every process has been shown a lower revision
    Then every process has the highest revision in force within 9 seconds
    When entry-0 is restarted
    Then entry-0 becomes ready with the highest revision
    And every process has the highest revision in force within 9 seconds
    And no process ever went to a lower revision

  Scenario: With the service down, what one process has reaches all others
    Given a running fleet of 2 entries and 2 endpoints
    And the service is down for all
    And endpoint-1 is parted from every entry
    When entry-0 alone is given a newer revision
    Then entry-0, entry-1 and endpoint-0 have it in force within 9 seconds
    And endpoint-1 still has the old one
    When endpoint-0 is restarted
    Then endpoint-0 becomes ready with the highest revision
    When endpoint-1 can be reached again
    Then every process has the highest revision in force within 9 seconds
    When entry-1 is restarted
    Then entry-1 becomes ready with the highest revision
    And no process ever went to a lower revision
