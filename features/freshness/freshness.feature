Feature: Changes of the store are known in time whichever of its answers are missing
  Simulated gateways with their real mesh, in virtual time.  The store acknowledges changes
  at seconds 12, 14.04, 14.31, 16 and 18; unanswered watches keep their connections.

  Scenario Outline: Changes are known in time: <what>
    Given <gateways> simulated gateways, each connected to <peers> others
    And the store leaves the watches of <unanswered> gateways from second <from> to <to> unanswered
    And the store is <away>
    When the load is played with 8 seeds
    Then every gateway has each change within 2 s, or 3 s after the store's return

    Examples:
      | what                                      | gateways | peers | unanswered | from | to   | away                            |
      | one gateway, no watch is ever answered    | 1        | 0     | 1          | 0    | 99   | never away                      |
      | all watches lost once                     | 5        | 4     | 5          | 6    | 11.4 | never away                      |
      | no watch is ever answered                 | 5        | 4     | 5          | 0    | 99   | never away                      |
      | only one gateway's watches are answered   | 5        | 4     | 4          | 0    | 99   | never away                      |
      | watches lost in a silent outage           | 5        | 4     | 5          | 6    | 11.4 | silent from second 6 to 11.4    |
      | watches lost in an outage that refuses    | 5        | 4     | 5          | 6    | 11.4 | refusing from second 6 to 11.4  |
      | no watch is answered after an outage      | 5        | 4     | 5          | 6    | 99   | silent from second 6 to 11.4    |
      | one gateway, watch lost in an outage      | 1        | 0     | 1          | 6    | 11.4 | silent from second 6 to 11.4    |
      | two outages, watches lost in both         | 5        | 4     | 5          | 2    | 11.4 | silent from second 10.5 to 11.4 |
      | gateways that are cut off from each other | 5        | 0     | 5          | 6    | 99   | silent from second 6 to 11.4    |
      | each gateway knows two others             | 12       | 2     | 12         | 0    | 99   | never away                      |

  Scenario Outline: Watches sent into an outage don't delay later changes: mesh of <gateways>, <ms> ms
    Given <gateways> simulated gateways, each connected to <peers> others
    And packets take <ms> ms each way
    And the store is silent from second 6 to 11, and has a change 0.1 s before
    When the load is played with <seeds> seeds
    Then every gateway has each change within <apply> s, or <stable> s after the store's return

    Examples:
      | gateways | peers | ms  | seeds | apply | stable |
      | 1        | 0     | 500 | 8     | 2     | 3      |
      | 5        | 4     | 2   | 8     | 2     | 3      |
      | 5        | 4     | 300 | 8     | 2     | 3      |
      | 5        | 4     | 500 | 8     | 2     | 3      |
      | 26       | 25    | 300 | 2     | 3     | 4      |
      | 26       | 25    | 500 | 2     | 3     | 4      |

  Scenario Outline: A watch lost in an outage that no read shows doesn't delay later changes: mesh of <gateways>
    Given <gateways> simulated gateways, each connected to <peers> others
    And packets take 500 ms each way
    And the store is silent from second 6 to 6.5, and has a change 0.95 s before
    When the load is played with <seeds> seeds
    Then every gateway has each change within <apply> s, or <stable> s after the store's return

    Examples:
      | gateways | peers | seeds | apply | stable |
      | 5        | 4     | 8     | 2     | 3      |
      | 26       | 25    | 2     | 3     | 4      |

  Scenario Outline: Changes are known in time around random outages: packets of <ms> ms
    When <count> random loads with outages are played over packets of <ms> ms
    Then none of them has a change that is known too late

    Examples:
      | count | ms  |
      | 10    | 1   |
      | 10    | 300 |

  Scenario Outline: On a calm day <gateways> gateways use a thousandth of the platform's rate
    Given <gateways> simulated gateways, each connected to <peers> others
    When the load is played with 1 seed and no changes
    Then the store gets at most <calls> calls per second

    Examples:
      | gateways | peers | calls |
      | 5        | 4     | 2     |
      | 30       | 29    | 6     |
