Feature: Software versions that came and went are not forgotten

  Guards against taking the only version that is left for the one that began a stream.

  Scenario Outline: A version that serves for a moment is known, or is known to be missing
    Given a registry that has followed an endpoint of "v1" for 60 s
    When an endpoint of "v1.1" comes and goes, and the registry gets <answer>
    Then it <knows> that "v1.1" has served in the last 12 s
    And 60 s later it knows that only "v1" has served in the last 12 s

    Examples:
      | answer                                    | knows              |
      | each change by itself                     | knows              |
      | both changes in one answer                | knows              |
      | the removal alone, as from a peer         | knows of a gap, or |
      | a full read, as after a compaction        | knows of a gap, or |

  Scenario: The removal of an unreadable entry is no gap
    Given a registry that has followed an endpoint of "v1" for 60 s
    When an unreadable entry comes and goes
    Then it knows that only "v1" has served in the last 12 s
