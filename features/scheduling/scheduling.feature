Feature: Job order, admission control and preemption at one endpoint

  Scenario: Jobs start, pause and expire as in a reference scheduler
    Given any sequence of offers, tokens, ends and waits, too short for a floor quantum
    When a scheduler and a reference scheduler process it
    Then both return the same actions
    And both pause two equal jobs with different start times in the same order

  Scenario: Every sequence of events keeps slots, queue and job states valid
    Given any sequence of offers, tokens, ends and waits
    When a scheduler with a short queue processes it
    Then slots, queue length, preemption and refusals follow the rules

  Scenario: Lower-priority tiers do not affect the highest-priority tier
    Given any sequence of offers, tokens, ends and waits, too short for a floor quantum
    When one scheduler gets all jobs and another only those of the highest-priority tier
    Then both admit and start the jobs of that tier in the same way

  Scenario: No class waits longer than the bound that its floor guarantees
    When jobs of classes with any floors wait behind a continuous load of urgent jobs
    Then each class gets a slot within the bound and its share over time

  Scenario: Workspaces of a class are served in proportion to their weights
    When jobs of workspaces with any weights run, offered one workspace after another
    Then the served tokens over weight differ by a bounded amount

  Scenario: The speed estimate follows a slowdown within three seconds
    Given an engine that generates 40 tokens per second in each slot
    Then three seconds after a slowdown to an eighth the estimate is below a fifth

  Scenario: Output lengths are estimated as quantiles
    When any output lengths are observed, one in a hundred multiplied by a thousand
    Then the estimate is near the true quantile, before and after some tokens are generated
    And if half of the answers have 10 tokens and half 1000, over 500 remain after 100

  Scenario: A full queue sheds waiting jobs of lower-priority tiers but no paused job
    Given an engine with 1 slots, a wait limit of 86400 s and a queue of 2 jobs
    When "dossier question" are offered
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2"
    When "dossier dossier question question question" are offered
    Then the actions are "ShedJob 4, ShedJob 3"
    And the last offers are "admitted admitted refused"

  Scenario: A question is admitted above the wait limit while a floor quantum runs
    Given an engine with 1 slots, a wait limit of 5 s and a queue of 9 jobs
    When "dossier question" are offered
    And 10 s pass
    And job 2 ends as a question arrives
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2, ResumeJob 1"
    When "question" are offered
    Then the last offers are "admitted"
    When the next wakeup time is reached
    Then the actions are "PauseJob 1, StartJob 3"
    When "question" are offered
    Then the last offers are "refused"

  Scenario: Within a tier the job with the least slack starts first
    Given an engine with 1 slots, a wait limit of 86400 s and a queue of 9 jobs
    When "question frame" are offered
    And 0.1 s pass
    And job 1 ends as a question arrives
    Then the actions are "StartJob 1, StartJob 3"

  Scenario: A class resumes its paused job before it starts another
    Given an engine with 1 slots, a wait limit of 86400 s and a queue of 9 jobs
    When "dossier" are offered
    And job 1 generates 5120 tokens
    And "question dossier/other" are offered
    And job 2 ends
    Then the actions are "StartJob 1, PauseJob 1, StartJob 2, ResumeJob 1"

  Scenario: A burst of one workspace does not cause refusals for others
    Given an engine with 4 slots, a wait limit of 20 s and a queue of 99 jobs
    When frame jobs of one workspace are offered until one is refused
    And "frame frame/other" are offered
    Then the last offers are "refused admitted"

  Scenario: Recent urgent demand increases the wait predicted for other tiers
    Given an engine with 1 slots, a wait limit of 86400 s and a queue of 9 jobs
    When "dossier dossier" are offered
    Then the wait predicted for a dossier is longer after a question was served

  Scenario Outline: The baseline orders neither pause jobs nor use workspace weights
    Given an engine with 1 slots and the order <order>
    When "dossier dossier question/a frame/a question/b" are offered
    And job 1 ends
    And job <second> ends
    And job <third> ends
    Then the actions are "StartJob 1, StartJob <second>, StartJob <third>, StartJob <last>"

    Examples:
      | order                              | second | third | last |
      | first_come_first_served            | 2      | 3     | 4    |
      | strict_priority_without_preemption | 3      | 4     | 5    |

  Scenario: Without early refusal only the queue length and deadlines limit the queue
    Given an engine with 1 slots, a wait limit of 0.01 s, a queue of 3 jobs and no early refusal
    When "frame frame frame frame frame" are offered
    Then the last offers are "admitted admitted admitted admitted refused"

  Scenario: A long prompt is prefilled alone, except for urgent prompts
    Given an engine with 6 slots, a wait limit of 86400 s and a queue of 9 jobs
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
    When the next wakeup time is reached
    Then the actions are "StartJob 2"
