Feature: Revisions go forward only
  Once a revision is accepted it never reverts, whatever the service or a peer says.

  Scenario: Any history of revisions ends where the naive version ends
    Given any history of stale, repeated, reordered and refused revisions
    When the store and a naive version go through it
    Then after each step both hold the same revision, and it is never lower

  Scenario: Two processes that hear of each other end in one revision
    Given two stores that were given any histories
    When they tell each other their revisions and exchange sections
    Then both hold the higher revision of the two

  Scenario: A reply stays below the bound on a frame
    Given a store with 10000 sections of a megabyte in all
    When a peer without any of them asks for its sections
    Then the encoded reply is below half of the largest frame
    And the peer holds the same revision

  Scenario: Few hosts of each data centre read the service
    Given any list of hosts
    When each host works out whether it is a reader
    Then 3 live hosts of each data centre are readers, or all if there are fewer
