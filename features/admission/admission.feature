Feature: Admission of prompts to engines that are too few for them

  The load is the first one of the specification: 28 engines of 32 slots; dossiers,
  summaries and questions.  It guards against full queues at engines, which shed summaries
  while dossiers of over twice their size begin, and preempt what they have begun.

  Scenario: In calm every prompt is sent as without admission
    Given the first test load with all engines
    When it is simulated without and with admission
    Then no prompt is held or refused, and each gets its first event at the same time

  Scenario: While engines are away, callers get more and engines preempt less
    Given the first test load with 12 engines left from 2 s to 5 s
    When it is simulated without and with admission
    Then callers get at least 0.05 more of the value of their requests
    And under half as many requests are preempted
    And more urgent requests aren't passed over for dossiers
    And no class gets less than a quarter of what all get

  Scenario: A workspace that sends seven times its usual waits on its own account
    Given the first test load with 12 engines left from 4 s to 9 s, and a workspace that sends 7 times its usual meanwhile
    When it is simulated without and with admission
    Then the other workspaces get at least 0.05 more of the value of their requests
    And they get more than the one that sends so much, which gets at least a quarter

  Scenario: The last prompt of the least urgent class leaves a queue that is full
    Given an engine with 2 slots, both taken by requests of class 0
    When prompts of class 0 and 2 are held until the queue is over its bound
    Then the prompts that are given up are of class 2 and of the workspace served most

  Scenario: No prompt is refused while half of the slots are free
    Given an engine with 4 slots, one taken by a request of class 0
    When a prompt comes that can't meet its deadline
    Then it is sent

  Scenario: A prompt that can't meet its deadline any more is refused, not sent
    Given an engine with 2 slots, both taken by requests of class 0
    When a prompt of class 0 is held, and its time is over but for 1 ms
    Then it is refused with the predicted wait

  Scenario: A prompt that left is not sent when there is room
    Given an engine with 2 slots, both taken by requests of class 0
    When a prompt of class 0 is held, and its caller leaves
    Then nothing is sent when a slot becomes free

  Scenario: A less urgent class that waits is served after a number of others
    Given an engine with 2 slots, both taken by requests of class 0
    When a prompt of class 2 is held, and ever more of class 0
    Then it is sent after 12 of the others
