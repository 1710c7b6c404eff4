Feature: Load and its report

  Scenario: The same seed plans the same requests
    Given a plan with a burst
    When its requests are planned twice with seed 7 and once with seed 8
    Then the first two are equal and the third differs
    And the burst holds its multiple of the requests

  Scenario: Latency counts from the planned send time
    Given a plan of 20 requests a second for 1 second
    And a server that answers one request at a time in 0.1 s
    When the plan is run against it
    Then the last request's latency includes the wait behind the others

  Scenario Outline: A server's fault is seen in the report
    Given a plan of 10 requests a second for 0.5 seconds
    And a server that <fault>
    When the plan is run against it
    Then the report counts fates as "<fate>" and says whole is "<whole>"

    Examples:
      | fault                       | fate    | whole |
      | answers right               | whole   | yes   |
      | answers with another text   | wrong   | no    |
      | ends its streams early      | cut     | no    |
      | refuses                     | refused | yes   |
      | closes the connection       | unanswered | no |

  Scenario: A caller that vanishes is told apart from one that is cut
    Given a plan of 10 requests a second for 0.5 seconds whose callers vanish
    And a server that answers one request at a time in 3 s
    When the plan is run against it
    Then the report counts fates as "vanished" and says whole is "yes"

  Scenario: A request that ran twice or ran untold is named
    Given a record of a non-repeatable request that was told not-run
    And stand-ins that ran it twice
    When the report is made
    Then it names the request as doubled and as untruly told
