Feature: The history checker
  It checks the records of callers, stand-ins and processes against the guarantees
  of the system, and does not import the code under test.

  Scenario: A history without breaches passes
    Given a history without breaches
    When it is checked
    Then no breach is reported

  Scenario Outline: Each kind of breach is reported
    Given a history without breaches
    But the history shows that <what>
    When it is checked
    Then a breach of "<guarantee>" by "<subject>" is the only one reported

    Examples:
      | what                                                 | guarantee     | subject    |
      | a question is refused while a dossier runs           | URGENT        | question-9 |
      | a question is refused during a protected quantum     | URGENT        | question-9 |
      | a question is refused as dossiers fill the queue     | URGENT        | question-9 |
      | a question is refused fleet-wide as a dossier runs   | URGENT        | question-9 |
      | a question expires while a dossier runs              | URGENT        | question-9 |
      | a question is shed                                   | URGENT        | question-9 |
      | a question is paused for a dossier                   | URGENT        | question-9 |
      | a dossier waits for longer than the bound            | STARVATION    | dossier-9  |
      | a dossier stays paused until the log ends            | STARVATION    | dossier-9  |
      | an answer belongs to another request                 | WHOLE         | mark-9     |
      | an answer is cut                                     | WHOLE         | mark-9     |
      | an answer is cut by a graceful endpoint shutdown     | WHOLE         | mark-9     |
      | an answer is cut, not reported, by a killed endpoint | WHOLE         | mark-9     |
      | a request ran although reported not-run              | NOT_RUN       | mark-9     |
      | a non-repeatable request ran twice                   | AT_MOST_ONCE  | mark-9     |
      | an entry routes an attempt to a leaving endpoint     | LEAVING       | dossier-9  |
      | a leaving endpoint accepts an attempt                | LEAVING       | dossier-9  |
      | a shutdown leaves an answer unfinished               | SHUTDOWN      | entry-0    |
      | a process reverts to a lower revision                | CONFIGURATION | entry-0    |
      | a process does not accept a newer revision           | CONFIGURATION | entry-0    |
      | a process accepts a revision late after an outage    | CONFIGURATION | endpoint-0 |
      | a process settles with an older revision             | CONFIGURATION | entry-1    |

  Scenario Outline: Permitted behaviour is not a breach
    Given a history without breaches
    But the history shows that <what>
    When it is checked
    Then no breach is reported

    Examples:
      | what                                                 |
      | a question is refused while no dossier is pausable   |
      | a question expires during a protected quantum        |
      | a question is refused as a dossier starts            |
      | an answer is cut by a killed entry process           |
      | an answer is cut, and reported, by a killed endpoint |
      | a process accepts a revision soon after an outage    |
      | an entry routes soon after the leave notice          |
      | an endpoint restarts after leaving                   |

  Scenario: The command checks the directory of a run
    Given a directory with a history in which an answer is cut
    When "report --check" is run on it
    Then it exits with 1 and prints the breach
