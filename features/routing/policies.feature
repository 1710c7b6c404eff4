Feature: Choice of an endpoint

  Scenario: Every policy chooses one of the candidates
    Given any candidates
    Then every policy chooses one of them, and the same one from the same seed

  Scenario: Two choices never take the costliest candidate
    Given any candidates
    Then without affinity two choices never take one that is costlier than all

  Scenario: Affinity is bounded by load
    Given any candidates
    Then affinity is followed exactly while the load bound of a naive version holds

  Scenario: Two choices herd less than least reported load on late reports
    Given 8 endpoints and reports that are 20 requests old
    Then 400 requests by two choices leave a lower peak than by least reported

  Scenario: A subset is deterministic, of its size and spread over data centres
    Given any endpoints in data centres
    Then their subset equals that of a naive version

  Scenario: Losing an endpoint changes a subset little
    Given any endpoints in data centres
    Then without one outside it the subset stays, and without one inside one changes

  Scenario: Retries stay within their share of requests
    Given any sequence of requests and retries
    Then no more retries are allowed than the balance and the share permit

  Scenario: Endpoints that fail are set aside up to a bounded share
    Given any sequence of failures and successes
    Then at most half are set aside, and a success brings one back

  Scenario: Failing again sets an endpoint aside for longer
    Given an endpoint that fails 10 times in a row, with 5 attempts each time
    Then each time it is set aside for twice as long, and at most 60 s

  Scenario: An endpoint whose time is over is tried by a trickle
    Given 2 endpoints of which one has served its time
    Then 1000 decisions include it in 50 to 200

  Scenario: Callers come back after a bounded and spread time
    Given any times that endpoints told
    Then the time to come back lies between the least told and half more
