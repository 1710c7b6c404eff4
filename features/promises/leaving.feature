Feature: An endpoint that is leaving receives nothing new
  Judged by when engines started requests: nothing is started at the engine of an
  endpoint later than 3 s after it has left, while callers keep asking every entry.

  Scenario: Endpoints leave by list and by word, with streams silent and an entry frozen
    Given a fleet of 2 entries, 3 endpoints and 0 services behind forwarders
    When callers keep asking
    And the first entry is frozen
    And every stream is silenced
    And the first endpoint leaves by the host list alone
    And the list has been heard by the first endpoint and the second entry
    And the host list is silent
    And the second endpoint leaves by its own word alone
    And the first entry wakes 3 s after that
    And callers have asked for 1 s more
    Then no engine behind them started anything later than 3 s after that
    And the other engine did start something later
    And every answer is whole or was refused as not run
