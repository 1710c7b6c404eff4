Feature: The revision in force never decreases
  An accepted revision never reverts, whatever the service or a peer sends.

  Scenario: Any history of revisions has the same result as a reference model
    Given any history of stale, repeated, reordered and refused revisions
    When the store and a reference model process it
    Then after each step both have the same revision, and it is never lower

  Scenario: Two processes that exchange revisions end with the same one
    Given two stores with any histories of revisions
    When they report their revisions to each other and exchange sections
    Then both have the higher revision of the two

  Scenario: A reply is smaller than the largest frame
    Given a store with 10000 sections of a megabyte in all
    When a peer without any of them requests its sections
    Then the encoded reply is below half of the largest frame
    And the peer has the same revision

  Scenario: Sections that are still arriving aren't requested again
    Given a store that has requested sections over a stream of a peer
    When part of the reply arrives each second for 10 s, and the peer reports its revision
    Then the sections are requested again only 2 s after the last part

  Scenario: Few hosts of each data centre read the service
    Given any list of hosts
    When each host determines whether it is a reader
    Then 3 live hosts of each data centre are readers, or all if there are fewer
