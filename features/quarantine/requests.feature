Feature: Quarantine of requests that crash plain endpoints

  Scenario Outline: A request that crashes endpoints is found: <what>
    Given 3 plain endpoints and 5 gateways with 15 sound requests/s of about <contents> contents
    And <rate> requests/s of <requests> that crash an endpoint within <crash> s, sent <sends> times each
    And <others>
    When the requests are played 12 times for <seconds> s
    Then the connected gateways send none of them more than 3 times from 3 s after its third crash
    And in no play over a tenth of the sound requests is refused

    Examples:
      | what                     | contents | rate | requests | crash | sends | others                                     | seconds |
      | the load of the incident | 40       | 1    | 1        | 0.09  | 2     | nothing else happens                       | 40      |
      | without retries          | 40       | 1    | 1        | 0.09  | 1     | nothing else happens                       | 40      |
      | seldom                   | 40       | 0.2  | 1        | 0.09  | 2     | nothing else happens                       | 120     |
      | frequent company         | 2        | 1    | 1        | 0.09  | 2     | nothing else happens                       | 40      |
      | two at once              | 40       | 1    | 2        | 0.09  | 2     | nothing else happens                       | 60      |
      | late in its run          | 40       | 1    | 1        | 0.4   | 2     | nothing else happens                       | 40      |
      | at once                  | 40       | 1    | 1        | 0.002 | 2     | nothing else happens                       | 40      |
      | one gateway cut off      | 40       | 1    | 1        | 0.09  | 2     | 1 gateway hears nothing of the others      | 40      |
      | all gateways restarted   | 40       | 1    | 1        | 0.09  | 2     | all gateways are restarted from second 10  | 40      |
      | crashes of other causes  | 40       | 1    | 1        | 0.09  | 2     | an endpoint crashes every 5 s on average   | 40      |
      | 20 a second              | 40       | 20   | 1        | 0.09  | 2     | nothing else happens                       | 40      |
      | half of its runs crash   | 40       | 1    | 1        | 0.09  | 2     | half of these requests crash no endpoint   | 40      |
