Feature: Routing policies, subsets, retry budgets and ejection

  Scenario: Every policy chooses one of the candidates
    Given any candidates
    Then every policy chooses one of them, and the same one from the same seed

  Scenario: Two choices never choose the candidate with the highest cost
    Given any candidates
    Then without affinity two choices never choose one that costs more than all others

  Scenario: Affinity is bounded by load
    Given any candidates
    Then affinity is followed exactly while a reference load bound holds

  Scenario: Two choices herd less than least reported load when reports are late
    Given 8 endpoints and reports that are 20 requests old
    Then 400 requests by two choices have a lower peak than by least reported

  Scenario: A subset is deterministic, of the requested size and spread over data centres
    Given any endpoints in data centres
    Then their subset equals that of a reference implementation

  Scenario: Removing an endpoint changes at most one member of a subset
    Given any endpoints in data centres
    Then removing a non-member keeps the subset, and removing a member replaces it

  Scenario: Retries stay within their share of requests
    Given any sequence of requests and retries
    Then no more retries are allowed than the balance and the share permit

  Scenario: At most half of the endpoints are ejected
    Given any sequence of failures and successes
    Then at most half are ejected, and a success ends an ejection

  Scenario: Consecutive failures lengthen the ejection time
    Given an endpoint that fails 10 times in a row, with 5 attempts each time
    Then each ejection is twice as long as the previous one, and at most 60 s

  Scenario: An endpoint is probed after its ejection time
    Given 2 endpoints of which one is past its ejection time
    Then 1000 decisions include it in 50 to 200

  Scenario: Retry-after hints are bounded and have jitter
    Given any retry-after hints of endpoints
    Then the retry-after time is between the shortest hint and half more
