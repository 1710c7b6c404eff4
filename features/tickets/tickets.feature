Feature: Tickets let a request run at most once

  Scenario: Signed tickets are accepted and modified ones are rejected
    Given a random ticket
    When its text is signed, verified, and verified with one character changed
    Then only the unchanged text is accepted, with the same content

  Scenario: The ticket table decides as a table without expiry does
    Given random sequences of ticket operations, restarts and time steps
    When a ticket table and a table without expiry perform the operations
    Then both decide alike, a ticket runs at most once, and never after "not run"

  Scenario: A used ticket whose record was dropped is never reported as not run
    Given a ticket table that has dropped the record of a used ticket
    When the ticket is claimed again
    Then its outcome is unknown, and an unused ticket of the same age has expired

  Scenario: A cancellation is not confirmed when the tombstone table is full
    Given a ticket table with a limit of two tombstones
    When three attempts are cancelled before they are offered
    Then the third cancellation is not confirmed until the first has expired
