Feature: Placement of prompts on model engines

  Scenario Outline: Gateways that exchange load events meet the targets at peak load
    Given the peak load of <site>
    When it is simulated with shared load events, local load events and request counts
    Then in each run shared load events serve 95 in 100 on time, more than the others

    Examples:
      | site          |
      | kilometerwerk |
      | tsurugaya     |

  Scenario: The split follows a load that changes from long prompts to short ones and back
    When the load changes from long prompts to short ones and back
    Then the number of engines for short prompts rises and falls again

  Scenario: Every prompt is placed as long as an engine remains
    When engines are removed on either side of the split, down to the last one
    Then prompts of each size are placed on a remaining engine

  Scenario: Processes with the same load events choose the same engines
    When several processes receive the same load events in any order
    Then they choose the same engine for each prompt

  Scenario: A cached segment is prefilled elsewhere only if its engine's backlog costs more
    Given an engine that has cached a prompt segment of 13300 tokens
    Then a prompt with the segment is placed there below a backlog of 40000 tokens
    And elsewhere above a backlog of 60000 tokens

  Scenario: A segment that an engine reports as cached counts like one that was sent to it
    Given an engine that reports a cached prompt segment of 13300 tokens
    Then a prompt with the segment is placed there below a backlog of 40000 tokens

  Scenario Outline: A burst on one side of the split overflows to the other side
    Given the peak load of <site>
    When short prompts arrive in a burst of 8 times their rate
    Then more requests are on time than without overflow between the sides

    Examples:
      | site          |
      | kilometerwerk |
      | tsurugaya     |

  Scenario: The routes' gap targets protect the streams of short prompts
    Given the peak load of tsurugaya
    When it is simulated with and without the routes' gap targets
    Then with them fewer streams exceed their gap targets, and no fewer are on time

  Scenario: A long prompt is not placed on an engine whose streams it would delay
    Given an engine that has cached a prompt segment of 13300 tokens
    When 2 streams with a gap target of 250 ms run there
    Then a prompt with the segment and 4000 tokens of its own is placed there
    And a prompt with the segment and 16000 tokens of its own is placed elsewhere

  Scenario Outline: The limit on uninterrupted prefill follows from the gap target and the law
    Given streams with <tokens> tokens in each event and a gap target of <pause> ms
    Then <limit> ms of prefill may run while they are decoded with <rate> tokens a ms

    Examples:
      | tokens | pause | rate | limit |
      | 3      | 250   | 50   | 137.5 |
      | 3      | 400   | 50   | any   |
      | 3      | 400   | 25   | 220.0 |
      | 4      | 250   | 50   | 137.5 |
      | 4      | 250   | 200  | any   |
      | 5      | 300   | 50   | 165.0 |
      | 4      | 0     | 50   | any   |
      | 0      | 250   | 50   | any   |

  Scenario: Gateways learn the law of engines that nobody has described to them
    When gateways that don't know the law of the engines serve load on engines of any law
    Then they serve as many requests on time as gateways that know it, less 5 in 100

  Scenario: A slow engine is told from a wrong law
    When a tenth of the engines is four times slower than the others
    Then the estimated rate is that of the others, and only the slow engines count as slow

  Scenario: A short disturbance does not replace the law
    When the first events of requests tell of another law for a second
    Then the law changes by a quarter at most, and the change is logged
