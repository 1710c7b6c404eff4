Feature: A non-repeatable request runs at most once
  Real processes on loopback: three entries, one engine, one plain service, and
  a forwarder in front of each endpoint process. Faults of the endpoint process: a
  disconnect closes its connections, a silence drops all their further bytes without
  closing them, a partition also refuses new connections, a freeze suspends the
  process, and a kill restarts it.

  Scenario Outline: A <kind> that is sent through every entry concurrently runs once
    Given a fleet of real processes
    When a <kind> with a ticket is sent twice through every entry concurrently
    Then it ran once, and every sender received the same complete answer

    Examples:
      | kind  |
      | chat  |
      | call  |

  Scenario Outline: A <kind> runs at most once if <fault> occurs <point>
    Given a fleet of real processes
    When a <kind> with a ticket is sent and <fault> occurs <point>
    And it is sent again through every entry before and after the faults are removed
    Then it ran at most once, and every sender received a correct outcome
    And the last retries all have outcome "<outcome>"

    Examples:
      | kind  | fault                          | point                       | outcome |
      | chat  | a disconnect                   | after the offer             | done    |
      | chat  | a kill                         | after the offer             | unknown |
      | chat  | a silence                      | after the acceptance        | done    |
      | chat  | a freeze                       | after the acceptance        | done    |
      | chat  | a kill                         | after the start             | unknown |
      | chat  | a disconnect and a disconnect  | during the answer           | done    |
      | chat  | a killed entry                 | during the answer           | done    |
      | chat  | a partition and a kill         | during the answer           | unknown |
      | call  | a silence                      | before the offer            | done    |
      | call  | a freeze                       | after the offer             | done    |
      | call  | a disconnect and a silence     | after the start             | done    |
      | call  | a frozen entry                 | after the start             | done    |
      | call  | a partition                    | between run and answer      | done    |
      | call  | a freeze and a kill            | between run and answer      | unknown |

  Scenario Outline: A call is not repeated if the service <failure>
    Given a fleet of real processes
    When a call with a ticket is sent while the service <failure>
    And it is sent again through every entry before and after the faults are removed
    Then it ran at most once, and every sender received a correct outcome

    Examples:
      | failure         |
      | sends no answer |
      | refuses it      |

  Scenario: A call without a ticket does not run until it is sent with the ticket it received
    Given a fleet of real processes
    When a call without a ticket is sent
    Then its sender receives status 428, "not-run" and a ticket, and it has not run
    When a call with that ticket is sent twice through every entry concurrently
    Then it ran once, and every sender received the same complete answer

  Scenario: A call whose ticket is optional runs under the ticket named in its reply
    Given a fleet of real processes
    When a call of class "note" without a ticket is sent
    Then its reply names a ticket
    When a call with that ticket is sent twice through every entry concurrently
    Then it ran once, and every sender received the same complete answer
