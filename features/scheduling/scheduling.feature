Feature: Order, admission and preemption at one endpoint

  Scenario: Jobs start, pause and expire as in a plain scheduler
    Given any history of offers, tokens, ends and waits, too short for a floor
    When a scheduler and a plain one are driven through it
    Then both return the same actions
    And two equal jobs that started apart are paused in the same order by both

  Scenario: Each job passes through its states as it may
    Given any history of offers, tokens, ends and waits
    When a scheduler with few places is driven through it
    Then slots, places, preemption and refusals keep to the rules

  Scenario: Higher-numbered tiers make no difference to the lowest-numbered
    Given any history of offers, tokens, ends and waits, too short for a floor
    When one scheduler gets all jobs and another those of the lowest-numbered tier
    Then both admit and start the jobs of that tier alike

  Scenario: No class starves beyond the bound that its floor gives
    When jobs of classes with any floors wait behind urgent jobs without end
    Then each gets a slot within the bound, and its share over time

  Scenario: Workspaces of a class are served by their weights
    When jobs of workspaces with any weights run, those of one workspace offered first
    Then the served tokens over weight differ by a bounded amount

  Scenario: A slowdown shows in the speed within three seconds
    Given an engine at 40 tokens a second in each slot
    Then three seconds after slowing to an eighth it is held to be below a fifth

  Scenario: Lengths are learnt as quantiles
    When any output lengths are learnt, one in a hundred a thousand times longer
    Then the estimate is near the true quantile, before and after some tokens
    And half of answers of 10 tokens and half of 1000 leave over 500 after 100

  Scenario: A full queue sheds waiting jobs of higher-numbered tiers and no paused one
    Given an engine of 1 slots, a limit of 86400 s and 2 places
    When "dossier question" are offered
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2"
    When "dossier dossier question question question" are offered
    Then the actions are "ShedJob 4, ShedJob 3"
    And the last offers are "admitted admitted refused"

  Scenario: A question is admitted beyond the limit while a floor's quantum runs
    Given an engine of 1 slots, a limit of 5 s and 9 places
    When "dossier question" are offered
    And 10 s pass
    And job 2 ends as a question arrives
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2, ResumeJob 1"
    When "question" are offered
    Then the last offers are "admitted"
    When the next wake comes
    Then the actions are "PauseJob 1, StartJob 3"
    When "question" are offered
    Then the last offers are "refused"

  Scenario: Inside a tier the least slack goes first
    Given an engine of 1 slots, a limit of 86400 s and 9 places
    When "question frame" are offered
    And 0.1 s pass
    And job 1 ends as a question arrives
    Then the actions are "StartJob 1, StartJob 3"

  Scenario: A class resumes its paused job before it starts another
    Given an engine of 1 slots, a limit of 86400 s and 9 places
    When "dossier" are offered
    And job 1 generates 5120 tokens
    And "question dossier/other" are offered
    And job 2 ends
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2, ResumeJob 1"

  Scenario: A burst of one workspace does not close the door to others
    Given an engine of 4 slots, a limit of 20 s and 99 places
    When frame queries of one workspace are offered until one is refused
    And "frame frame/other" are offered
    Then the last offers are "refused admitted"

  Scenario: Recent urgent demand lengthens the wait predicted for others
    Given an engine of 1 slots, a limit of 86400 s and 9 places
    When "dossier dossier" are offered
    Then the wait predicted for a dossier is longer once a question came and went

  Scenario Outline: The baselines neither pause jobs nor weigh workspaces
    Given an engine of 1 slots that serves by <order>
    When "dossier dossier question/a frame/a question/b" are offered
    And job 1 ends
    And job <second> ends
    And job <third> ends
    Then the actions are "StartJob 1, StartJob <second>, StartJob <third>, StartJob <last>"

    Examples:
      | order                              | second | third | last |
      | first_come_first_served            | 2      | 3     | 4    |
      | strict_priority_without_preemption | 3      | 4     | 5    |

  Scenario: Without early refusal only places and the deadline limit the queue
    Given an engine of 1 slots, a limit of 0.01 s, 3 places and no early refusal
    When "frame frame frame frame frame" are offered
    Then the last offers are "admitted admitted admitted admitted refused"

  Scenario: A long prompt is read by itself, but for urgent ones
    Given an engine of 6 slots, a limit of 86400 s and 9 places
    And prompts of 10000 bytes
    When "dossier dossier question" are offered
    Then the actions are "StartJob 1, StartJob 3"
    When job 1 generates 1 tokens
    And "summary question" are offered
    Then the actions are "StartJob 5"
    When job 3 generates 1 tokens
    And job 5 generates 1 tokens
    And job 1 ends
    Then the actions are "StartJob 4"
    When the next wake comes
    Then the actions are "StartJob 2"
