Feature: An evacuation reaches gateways that can't reach the store
  Simulated gateways with their real mesh, in virtual time, of which one reaches the store.
  It acknowledges the evacuation of b, then of c, then the end of that of b.

  Scenario Outline: Every gateway knows each change in time
    Given <gateways> simulated gateways, each in contact with <peers> neighbours
    When evacuations are played with 4 seeds
    Then every gateway knows each of them within 5 s

    Examples:
      | gateways | peers |
      | 5        | 4     |
      | 29       | 28    |
      | 29       | 2     |

  Scenario: Snapshots in any order never revoke an evacuation by an older revision
    Then snapshots of an evacuation, its end and its return in any order agree on the last
