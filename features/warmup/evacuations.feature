Feature: An evacuation reaches gateways that can't reach the store
  Simulated gateways with their real mesh, in virtual time, of which one reaches the store.
  It acknowledges the evacuation of b, then of c, then the end of that of b.

  A gateway without the store is allowed 5 s and an extension of 6 s.  Gateways that hear
  of only two others form a chain of 14 steps, which takes part of the extension.

  Scenario Outline: Every gateway knows each change in time
    Given <gateways> simulated gateways, each in contact with <peers> neighbours
    When evacuations are played with 4 seeds
    Then every gateway knows each of them within <seconds> s

    Examples:
      | gateways | peers | seconds |
      | 5        | 4     | 5       |
      | 29       | 28    | 5       |
      | 29       | 4     | 5       |
      | 29       | 2     | 11      |

  Scenario: Snapshots in any order never revoke an evacuation by an older revision
    Then snapshots of an evacuation, its end and its return in any order agree on the last
