Feature: The history checker
  It judges records of callers, stand-ins and processes, and shares no code with
  what it judges.

  Scenario: A good history passes
    Given a history in which everything holds
    When it is checked
    Then no breach is named

  Scenario Outline: A planted breach is named
    Given a history in which everything holds
    But the history shows that <what>
    When it is checked
    Then a breach of "<promise>" by "<subject>" is named and no other

    Examples:
      | what                                             | promise       | subject     |
      | a question is refused while a dossier runs       | URGENT        | question-9  |
      | a question is refused while a quantum runs       | URGENT        | question-9  |
      | a question finds its place taken by dossiers     | URGENT        | question-9  |
      | a question is refused by all while a dossier runs | URGENT       | question-9  |
      | a question expires while a dossier runs          | URGENT        | question-9  |
      | a question is shed                               | URGENT        | question-9  |
      | a question is paused for a dossier               | URGENT        | question-9  |
      | a dossier waits for longer than the bound        | STARVATION    | dossier-9   |
      | a dossier stays paused until the log ends        | STARVATION    | dossier-9   |
      | an answer belongs to another request             | WHOLE         | mark-9      |
      | an answer is cut                                 | WHOLE         | mark-9      |
      | an answer is cut as its endpoint shuts down      | WHOLE         | mark-9      |
      | an answer is cut unsaid as its endpoint is killed | WHOLE        | mark-9      |
      | a request ran after it was told not-run          | NOT_RUN       | mark-9      |
      | a ledger entry ran twice                         | AT_MOST_ONCE  | mark-9      |
      | an entry offers work to a leaving endpoint       | LEAVING       | dossier-9   |
      | a leaving endpoint takes work                    | LEAVING       | dossier-9   |
      | a shutdown leaves an answer unfinished           | SHUTDOWN      | entry-0     |
      | a process goes back to a lower revision          | CONFIGURATION | entry-0     |
      | a process does not take a newer revision         | CONFIGURATION | entry-0     |
      | a process learns late after an outage            | CONFIGURATION | endpoint-0  |
      | a process is ready under an older revision       | CONFIGURATION | entry-1     |

  Scenario Outline: What is allowed is no breach
    Given a history in which everything holds
    But the history shows that <what>
    When it is checked
    Then no breach is named

    Examples:
      | what                                             |
      | a question is refused while a fixed job runs     |
      | a question expires inside a quantum              |
      | a question is refused as a dossier starts        |
      | an answer is cut as its entry process is killed  |
      | an answer is said to be cut as its endpoint is killed |
      | a process learns in time after an outage         |
      | an entry offers work soon after the word         |
      | an endpoint returns after leaving                |

  Scenario: The command judges a run's directory
    Given a directory with a history in which an answer is cut
    When "report --check" is run on it
    Then it exits with 1 and names the breach
