Feature: Order, admission and preemption at one endpoint

  Scenario: Jobs start, pause and expire as in a plain scheduler
    Given any history of offers, tokens, ends and waits, too short for a floor
    When a scheduler and a plain one are driven through it
    Then both return the same actions

  Scenario: Each job passes through its states as it may
    Given any history of offers, tokens, ends and waits
    When a scheduler with few places is driven through it
    Then slots, places, preemption and refusals keep to the rules

  Scenario: Higher-numbered tiers make no difference to the lowest-numbered
    Given any history of offers, tokens, ends and waits, too short for a floor
    When one scheduler gets all jobs and another those of the lowest-numbered tier
    Then both admit and start the jobs of that tier alike

  Scenario: No class starves beyond the bound that its floor gives
    Given any floors and widths, and urgent jobs without end
    When the classes' jobs wait
    Then each gets a slot within the bound, and its share over time

  Scenario: Workspaces of a class are served by their weights
    Given any weights and output lengths, and all jobs of one workspace first
    When the jobs run
    Then the served tokens over weight differ by a bounded amount

  Scenario: A slowdown shows in the speed within three seconds
    Given an engine at 40 tokens a second in each slot
    When it slows to an eighth
    Then three seconds later its speed is held to be below a fifth of what it was

  Scenario: Lengths are learnt as quantiles
    Given any output lengths, one in a hundred of them a thousand times longer
    When they have been learnt
    Then the estimate is near the true quantile, before and after some tokens

  Scenario: A full queue sheds waiting jobs of higher-numbered tiers and no paused one
    Given an engine of one slot and a queue of two places, with a dossier paused
    When two dossiers wait and three questions arrive
    Then the newest dossiers are shed in turn and the third question is refused

  Scenario: A question is admitted beyond the limit while a floor's quantum runs
    Given an engine of one slot that a dossier holds for its floor's quantum
    When questions arrive in the quantum and after it
    Then only the one after it is refused

  Scenario: Inside a tier the least slack goes first
    Given an engine of one slot that is busy
    When a frame query waits and a question with less slack arrives
    Then the question starts first

  Scenario: What is still to come depends on what was generated
    Given half of the answers of 10 tokens and half of 1000
    When an answer has 100 tokens
    Then at least 500 are still to come at the median
