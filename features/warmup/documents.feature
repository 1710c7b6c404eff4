Feature: Documents and settings with and without cold endpoints
  Deployments that lack the fields, and odd values, must not take endpoints out of use.

  Scenario Outline: The remaining warm-up in an entry
    Given an entry whose cold_remaining_ms is <value>
    Then its endpoint is usable and cold for <ms> ms

    Examples:
      | value  | ms      |
      | absent | 0       |
      | null   | 0       |
      | 0      | 0       |
      | -5     | 0       |
      | "x"    | 0       |
      | true   | 0       |
      | NaN    | 0       |
      | 1500.5 | 1500.5  |
      | 1e300  | 3600000 |

  Scenario Outline: The regions that a route allows
    Given a route whose allowed_regions is <value>
    Then it allows <regions>

    Examples:
      | value       | regions    |
      | absent      | all        |
      | null        | all        |
      | []          | all        |
      | ["b", "a"]  | a b        |
      | "a"         | no version |
      | [1]         | no version |

  Scenario Outline: The bounds and regions in the settings
    Given settings with <lines>
    Then the bounds are <overshoot> and <slack>, and the regions "<regions>"

    Examples:
      | lines                               | overshoot | slack | regions |
      | nothing more                        | 1         | 0     |         |
      | region="r1"                         | 1         | 0     | a=r1    |
      | region="r1";zones={a="r1",b="r2"}   | 1         | 0     | a=r1 b=r2 |
      | region=7;zones=["a"]                | 1         | 0     |         |
      | cold_overshoot=1.5;cold_slack=5     | 1.5       | 5     |         |
