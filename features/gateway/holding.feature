Feature: Prompts that wait in the gateway for room at an engine

  Guards against prompts that are sent where they would be shed or preempted, and against
  held ones that are lost, sent after their callers left, or kept beyond the shutdown.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And the model server "m-1" with 4 slot and an engine that is not started
    And a gateway that is ready
    And prompts that take the 4 slots of the engine, and one that is held

  Scenario: A held prompt is sent when a slot is free, also after a new configuration
    When version 8 of the configuration is in force
    And the engine answers what it has
    Then the held prompt gets its complete answer

  Scenario: A held prompt whose caller leaves is never sent
    When the caller of the held prompt leaves
    And the engine answers what it has
    Then the engine got 4 prompts, and nothing is held

  Scenario: A held prompt whose deadline passes is answered as not run
    When the deadline of the held prompt passes
    Then the held prompt gets 503 with Retry-After, and the engine got 4 prompts

  Scenario: A process that stops refuses what it holds, as not run
    When the process shuts down
    Then the held prompt gets 503 with Retry-After, and the engine got 4 prompts
