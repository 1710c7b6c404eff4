Feature: The load generator and its report

  Scenario: The same seed generates the same requests
    Given a plan with a burst
    When its requests are generated twice with seed 7 and once with seed 8
    Then the first two lists are equal and the third differs
    And the request rate in the burst is multiplied by its factor

  Scenario: Latency is measured from the planned send time
    Given a plan of 20 requests a second for 1 second
    And a server that takes 0.1 s per request, one at a time
    When the plan is run against it
    Then the latency of the last request includes the wait for the others

  Scenario Outline: The report shows the fault of a server
    Given a plan of 10 requests a second for 0.5 seconds
    And a server that <fault>
    When the plan is run against it
    Then the report counts all requests as "<fate>" and has "<whole>" for all whole

    Examples:
      | fault                   | fate       | whole |
      | answers correctly       | whole      | yes   |
      | answers with wrong text | wrong      | no    |
      | ends its streams early  | cut        | no    |
      | refuses                 | refused    | yes   |
      | closes the connection   | unanswered | no    |

  Scenario: A caller that vanishes is not counted as a truncated answer
    Given a plan of 10 requests a second for 0.5 seconds whose callers vanish
    And a server that takes 3 s per request, one at a time
    When the plan is run against it
    Then the report counts all requests as "vanished" and has "yes" for all whole

  Scenario: The report lists untrue not-run outcomes and repeated executions
    Given a record of a non-repeatable request with the outcome not-run
    And stand-ins that executed it twice
    When the report is made
    Then it lists the request as doubled and as untrue not-run
