Feature: Exceptions hold at the endpoint
  A class is looked up for the request's workspace, wherever it counts.

  Scenario: An endpoint process orders and refuses by the class with its exceptions
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When "busy" of class "summary" runs and "other" of another workspace waits
    And "urgent" of class "summary" of that workspace is offered
    Then "urgent" starts first, as its exception's tier says
    And an offer of class "question" of that workspace needs a ticket, as its exception says
    And the engine was told the priority of the exception

  Scenario: A plain service's calls are never paused, whatever an exception says
    Given an endpoint process before a plain service with an exception for preemptible
    Then its scheduler holds no class of any workspace for preemptible

  Scenario: A request is handled under the revision at which its entry took it
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When "busy" of class "summary" runs and "other" of another workspace waits
    And a revision without exceptions is in force
    And "urgent" of class "summary" of that workspace is offered
    Then "urgent" starts first, as its exception's tier says

  Scenario: An offer of a newer revision is held until that revision has come
    Given an endpoint process whose class "summary" has exceptions for one workspace
    When an offer of a class that only the entry's revision has arrives
    Then the endpoint process asks for the entry's sections
    And the offer is accepted once they have arrived, and not refused before
