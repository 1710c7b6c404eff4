Feature: A non-repeatable request runs at most once
  Real processes on loopback: three entries, one engine, one plain service, and
  a forwarder before each endpoint process.

  Scenario Outline: A <kind> that is sent through every entry at once runs once
    Given a fleet of real processes
    When a <kind> with a ticket is sent twice through every entry at once
    Then it ran once, and every sender has the same whole answer

    Examples:
      | kind  |
      | chat  |
      | call  |

  Scenario Outline: A <kind> that <fault> meets <point> runs at most once
    Given a fleet of real processes
    When a <kind> with a ticket is sent and <fault> meets it <point>
    And it is sent again through every entry before and after all is mended
    Then it ran at most once, and what every sender was told is true
    And the endpoint process <knows> it

    Examples:
      | kind  | fault                | point                | knows    |
      | chat  | a cut                | after the offer      | knows    |
      | chat  | a kill               | after the offer      | forgot   |
      | chat  | a silence            | after the acceptance | knows    |
      | chat  | a freeze             | after the acceptance | knows    |
      | chat  | a kill               | after the hand-over  | forgot   |
      | chat  | a cut and a cut      | in mid-answer        | knows    |
      | chat  | a dead entry         | in mid-answer        | knows    |
      | chat  | a split and a kill   | in mid-answer        | forgot   |
      | call  | a silence            | before the offer     | knows    |
      | call  | a freeze             | after the offer      | knows    |
      | call  | a cut and a silence  | after the hand-over  | knows    |
      | call  | a frozen entry       | after the hand-over  | knows    |
      | call  | a split              | before the end       | knows    |
      | call  | a freeze and a kill  | before the end       | forgot   |

  Scenario Outline: A call that the service <drops> is not made again
    Given a fleet of real processes
    When a call with a ticket is sent while the service <drops>
    And it is sent again through every entry before and after all is mended
    Then it ran at most once, and what every sender was told is true

    Examples:
      | drops        |
      | gives nothing |
      | refuses       |

  Scenario: A call without a ticket is not run until it is sent with the one it got
    Given a fleet of real processes
    When a call without a ticket is sent
    Then its sender is told 428 and "not-run", with a ticket, and it has not run
    When a call with that ticket is sent twice through every entry at once
    Then it ran once, and every sender has the same whole answer

  Scenario: A call whose ticket is optional is made once, under a ticket that is named
    Given a fleet of real processes
    When a call of class "note" without a ticket is sent
    Then its reply names a ticket
    When a call with that ticket is sent twice through every entry at once
    Then it ran once, and every sender has the same whole answer
