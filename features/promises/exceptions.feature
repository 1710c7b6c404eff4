Feature: Exceptions apply at the endpoint
  The endpoint process resolves a class for the workspace of each request.

  Scenario: An endpoint process schedules and refuses by the class with its exceptions
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When "busy" of class "summary" runs and "other" of another workspace is queued
    And "urgent" of class "summary" of that workspace is offered
    Then "urgent" starts first, by the tier of its exception
    And an offer of class "question" of that workspace needs a ticket by its exception
    And the engine receives the priority of the exception

  Scenario: A plain service's calls are never paused, whatever an exception sets
    Given an endpoint process for a plain service with an exception for preemptible
    Then its scheduler has no preemptible entry of any workspace

  Scenario: A request is handled under the revision at which its entry accepted it
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When "busy" of class "summary" runs and "other" of another workspace is queued
    And a revision without exceptions comes into force
    And "urgent" of class "summary" of that workspace is offered
    Then "urgent" starts first, by the tier of its exception

  Scenario: An offer of a newer revision is held until that revision has arrived
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When an offer arrives whose class is only in the entry's revision
    Then the endpoint process requests the entry's sections
    And the offer is accepted when they have arrived, and not refused before
