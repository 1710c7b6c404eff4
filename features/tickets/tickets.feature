Feature: Tickets let a request run at most once

  Scenario: Signed tickets are read back and changed ones are not
    Given any ticket
    When its text is signed, read back and read with one character changed
    Then only the unchanged text is read, with the same content

  Scenario: The ticket table decides as one that never forgets does
    Given any history of issued, claimed, withdrawn and cancelled tickets
    When a ticket table and a table that never forgets are driven through it
    Then both decide alike, a ticket runs once, and none runs after "not run"

  Scenario: A used ticket that is no longer held is never told as not run
    Given a ticket table whose ticket was used and dropped
    When the ticket arrives again
    Then its outcome is unknown, and an unused one of its age is told as expired

  Scenario: A full table of tombstones confirms no cancellation
    Given a ticket table that holds two tombstones at most
    When three attempts are cancelled before they arrive
    Then the third cancellation is not confirmed until the first has expired
