Feature: The bound on a cold endpoint holds whoever hears of whom
  Simulated gateways with their real allowance and membership, in virtual time, all of which
  want to send to the same cold endpoint as fast as they can.  Requests may arrive late.

  Scenario Outline: No second has more requests than the endpoint bears: <what>
    Given <gateways> simulated gateways and a cold endpoint that bears <rate> requests a second
    And the bounds 1.5 and 5
    And <disturbance>
    When 30 s are played with <seeds> seeds
    Then no second has more requests than the bounds allow

    Examples:
      | what                                    | gateways | rate | seeds | disturbance                                       |
      | calm                                    | 29       | 6.6  | 4     | no disturbance                                    |
      | groups that can't hear each other       | 29       | 6.6  | 8     | random groups                                     |
      | processes that are killed and restarted | 29       | 6.6  | 8     | restarts                                          |
      | processes that freeze                   | 29       | 6.6  | 4     | freezes                                           |
      | all of these                            | 29       | 6.6  | 8     | random groups, restarts, freezes                  |
      | all of these, five gateways             | 5        | 6.6  | 8     | random groups, restarts, freezes                  |
      | all of these, a weaker endpoint         | 29       | 0.5  | 8     | random groups, restarts, freezes                  |
      | all processes restarted in two groups   | 29       | 6.6  | 8     | two groups, all restarted                         |
      | all processes restarted in three groups | 29       | 6.6  | 8     | three groups, all restarted                       |
      | the planned number of gateways          | 330      | 6.6  | 1     | random groups, restarts, freezes                  |

  Scenario Outline: Gateways that hear each other use what the endpoint bears
    Given <gateways> simulated gateways and a cold endpoint that bears <rate> requests a second
    And the bounds 1.5 and 5
    And no disturbance
    When 30 s are played with 1 seeds
    Then between <least> and <most> of its rate are used

    Examples:
      | gateways | rate | least | most |
      | 29       | 6.6  | 0.8   | 1.1  |
      | 29       | 2    | 0.6   | 1.2  |
      | 330      | 6.6  | 0.8   | 1.1  |

  Scenario: A gateway that knows no others sends nothing
    Given 1 simulated gateways and a cold endpoint that bears 6.6 requests a second
    And the bounds 1.5 and 5
    And no disturbance
    When 30 s are played with 1 seeds
    Then the endpoint gets nothing

  Scenario: Removed and returned entries are not taken for starts
    Given an endpoint that is listed in the first read, removed and listed again
    Then it is warm, and its next start is cold for the usual time

  Scenario Outline: The coldest report counts
    Given an endpoint that is listed during traffic with an entry of <entry> ms
    And an answer that reports <answer> ms
    Then it is cold for <time> ms if 3000 ms are usual

    Examples:
      | entry | answer | time |
      | 0     | 0      | 3000 |
      | 1000  | 0      | 3000 |
      | 5000  | 0      | 5000 |
      | 0     | 4000   | 4000 |

  Scenario Outline: An endpoint is cold after an evacuation
    Given an endpoint that is listed in the first read with an entry of <entry> ms
    When the evacuation of its data centre ends
    Then it is cold for <time> ms if 3000 ms are usual

    Examples:
      | entry | time |
      | 0     | 3000 |
      | 1000  | 1000 |
      | 9000  | 9000 |
