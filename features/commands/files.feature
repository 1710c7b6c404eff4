Feature: The command's verbs for files

  Scenario Outline: A right file is told apart and accepted
    Given a file with <content>
    When the command runs "check FILE"
    Then it exits with 0 and prints "ok"

    Examples:
      | content                           |
      | an entry's settings               |
      | the declarations of kilometerwerk |

  Scenario: Mistakes are printed with their remedies
    Given a file with the declarations of kilometerwerk
    And in it "attempts = 3" stands as "attempts = 30"
    When the command runs "check FILE --json"
    Then it exits with 1 and prints JSON where "mistakes.0.section" is "defaults"
    And it prints JSON where "mistakes.0.key" is "attempts"

  Scenario: A secret is not printed
    Given a file with an entry's settings
    And in it "loopback-fleet-key" stands as "short-secret"
    When the command runs "check FILE"
    Then it exits with 1 and prints "[fleet] key"
    And it does not print "short-secret"

  Scenario: An exception whose date has passed is named
    Given a file with the declarations of kilometerwerk
    And in it "until = 2027-06-30" stands as "until = 2020-06-30"
    When the command runs "check FILE"
    Then it exits with 0 and prints "[exception month-end-filing] was to end"

  Scenario: A preview names the keys that change and the verdict
    Given a file with the declarations of kilometerwerk
    And a second file where "attempts = 3" stands as "attempts = 4"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 0 and prints "~ [defaults] attempts = 3 -> 4"
    Given a second file where "[model large-model]" stands as "[model huge-model]"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 0 and prints "- [model large-model] context = 65536"
    Given a second file where "attempts = 3" stands as "attempts = 30"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 1 and prints "would be refused"

  Scenario Outline: A wrong command line has an exit code of its own
    When the command runs "<line>"
    Then it exits with <code>

    Examples:
      | line                  | code |
      | check                 | 2    |
      | check /nowhere.ini    | 2    |
      | nonsense              | 2    |
      | explain 0             | 2    |
      | status 127.0.0.1:9    | 3    |
      | send 127.0.0.1:9 hi   | 2    |
      | send 127.0.0.1:9 hi --model m | 3 |

  Scenario: One request's story is told in order from several logs
    Given the logs of an entry and an endpoint with two requests
    When the command runs "explain aaaaaaaaaaaaaaaaaaaaaaaa.0.endpoint-1 ENTRY ENDPOINT"
    Then it exits with 0 and prints, in this order, "attempt-routed attempt-placed attempt-ended request-ended"
    And it does not print "bbbbbbbb"

  Scenario: The generated pages are current
    When the reference script checks the pages
    Then it exits with 0
