Feature: An accepted configuration is in force within seconds and never reverts
  Checked on real processes by their status and their logs.

  Scenario: Many revisions, two concurrent operators and an invalid revision
    Given a running fleet of 2 entries and 2 endpoints
    When two operators publish 15 revisions each at the same time
    Then every process has the highest revision in force within 9 seconds
    And no process queried the service more than once a second
    When an operator publishes an invalid revision
    Then every process logs the section, key and value of its problem
    And every process has the highest revision in force within 9 seconds
    When an operator publishes a valid revision
    Then every process has the highest revision in force within 9 seconds
    And no process ever reverted to a lower revision

  Scenario: A stale service and one with old content revert no process, even at its start
    Given a running fleet of 2 entries and 2 endpoints
    When an operator publishes a valid revision
    Then every process has the highest revision in force within 9 seconds
    When the service becomes stale for all
    And endpoint-0 is restarted
    Then endpoint-0 becomes ready with the highest revision
    When the service is restarted with its initial content
    And every process has received a lower revision
    Then every process has the highest revision in force within 9 seconds
    When entry-0 is restarted
    Then entry-0 becomes ready with the highest revision
    And every process has the highest revision in force within 9 seconds
    And no process ever reverted to a lower revision

  Scenario: With the service down, the revision of one process reaches all others
    Given a running fleet of 2 entries and 2 endpoints
    And the service is down for all
    And endpoint-1 is partitioned from every entry
    When only entry-0 receives a newer revision
    Then entry-0, entry-1 and endpoint-0 have it in force within 9 seconds
    And endpoint-1 still has the old revision in force
    When endpoint-0 is restarted
    Then endpoint-0 becomes ready with the highest revision
    When endpoint-1 is reachable again
    Then every process has the highest revision in force within 9 seconds
    When entry-1 is restarted
    Then entry-1 becomes ready with the highest revision
    And no process ever reverted to a lower revision
