Feature: Parsing and checking of declarations
  All problems of a text are reported when it is read, each with a remedy.

  Scenario Outline: The declarations of a deployment are accepted
    Given the example declarations of <deployment>
    When the declarations are read
    Then there are no problems

    Examples:
      | deployment    |
      | kilometerwerk |
      | tsurugaya     |

  Scenario Outline: A problem is reported with its section, key and remedy
    Given the example declarations of tsurugaya
    And "<old>" is replaced by "<new>"
    When the declarations are read
    Then the only problem is at [<section>] <key> and its remedy mentions "<remedy>"

    Examples:
      | old                      | new                       | section                         | key         | remedy         |
      | attempts = 2             | attemps = 2               | defaults                        | attemps     | attempts       |
      | attempts = 2             | attempts = 11             | defaults                        | attempts    | le 10          |
      | class_name = subtitle-draft\nworkspace = bench | class_name = x\nworkspace = bench | defaults | class_name | add [class x] |
      | workspace = bench        | workspace = y             | defaults                        | workspace   | [workspace y]  |
      | classes = catalogue-lookup ledger-entry dossier | classes = z | workspace client-archivists | classes | [class z] |
      | class_name = catalogue-lookup | class_name = z       | service catalogue               | class_name  | [class z]      |
      | deadline = 25            | deadline = 0.5            | class frame-query               | deadline    | first_token    |
      | deadline = 25            | deadline = 14             | class frame-query               | deadline    | finish         |
      | deadline = 25            | deadline = inf            | class frame-query               | deadline    | le 86400       |
      | finish = 15              | finish = 0.5              | class frame-query               | finish      | first_token    |
      | preemptible = false\nqueue_limit = 2 | preemptible = true | class frame-query          | preemptible | false          |
      | repeatable = false       | repeatable = true         | class ledger-entry              | ticket      | repeatable     |
      | [workspace bench]        | [workspace bank]           | defaults                        | workspace   | [workspace bench] |
      | reason = Reels of the town archive are on loan and go back on a fixed morning. | reason = short | exception dossiers-run-through | reason | min_length |
      | until = 2027-03-31       | until = 2027-02-31        | exception dossiers-run-through  | until       | YYYY-MM-DD     |
      | until = 2027-03-31       | until = next week         | exception dossiers-run-through  | until       | pattern        |
      | set_key = finish         | set_key = reason          | exception autumn-broadcast      | set_key     | first_token    |
      | set_value = 120          | set_value = soon          | exception autumn-broadcast      | set_value   | gt 0           |
      | set_value = 120          | set_value = 5             | exception autumn-broadcast      | set_value   | first_token    |
      | class_name = subtitle-draft\nworkspace = broadcaster-west | workspace = broadcaster-west | exception autumn-broadcast | class_name | add |

  Scenario: A default value does not contradict a key that is set
    Given the example declarations of tsurugaya
    And "[model small-model]" is replaced by "[class quick]\ntier = 1\nfinish = 0.3\n\n[model small-model]"
    When the declarations are read
    Then there are no problems

  Scenario: A reserved name is refused
    Given the example declarations of tsurugaya
    And a section "[workspace other]" is added
    When the declarations are read
    Then the only problem is at [workspace other]  and its remedy mentions "another name"

  Scenario: Two exceptions for the same key are refused
    Given the example declarations of tsurugaya
    And the exception "autumn-broadcast" is copied as "again"
    When the declarations are read
    Then the only problem is at [exception again] set_key and its remedy mentions "remove one"

  Scenario: Floors that add up to 1 or more are refused
    Given the example declarations of tsurugaya
    And 8 classes with a floor of 0.2 are added
    When the declarations are read
    Then the only problem is at [defaults] floor and its remedy mentions "less than 1"

  Scenario: All problems are reported at once
    Given the example declarations of tsurugaya
    And "attempts = 2" is replaced by "attempts = 11"
    And "until = 2027-03-31" is replaced by "until = 2027-02-31"
    And a section "[nonsense]" is added
    When the declarations are read
    Then there are 3 problems

  Scenario: Any text is either accepted or reported with its problems
    Given any INI text with known and unknown sections
    When each text is read twice
    Then both results are equal and each problem has a message and a remedy

  Scenario: Exceptions apply to their class and workspace only
    Given the example declarations of tsurugaya
    And an exception sets finish = 200 for every workspace of "subtitle-draft"
    When the declarations are read
    Then the finish target of "subtitle-draft" is 120 s for "broadcaster-west"
    And the finish target of "subtitle-draft" is 200 s for "bench"
    And the finish target of "subtitle-draft" is 200 s for "undeclared"
    And the finish target of "dossier" is 7200 s for "broadcaster-west"
    And at most 3 resolved classes are cached for "subtitle-draft"
