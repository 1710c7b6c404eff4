Feature: Verbs of the command that check files and read logs

  Scenario Outline: The kind of a valid file is detected and the file accepted
    Given a file with <content>
    When the command runs "check FILE"
    Then it exits with 0 and prints "ok"

    Examples:
      | content                           |
      | an entry's settings               |
      | the declarations of kilometerwerk |

  Scenario: Problems are printed with their location and remedy
    Given a file with the declarations of kilometerwerk
    And in the file "attempts = 3" is replaced by "attempts = 30"
    When the command runs "check FILE --json"
    Then it exits with 1 and prints JSON where "mistakes.0.section" is "defaults"
    And it prints JSON where "mistakes.0.key" is "attempts"

  Scenario: An invalid secret is not printed
    Given a file with an entry's settings
    And in the file "loopback-fleet-key" is replaced by "short-secret"
    When the command runs "check FILE"
    Then it exits with 1 and prints "[fleet] key"
    And it does not print "short-secret"

  Scenario: An expired exception is reported as a notice
    Given a file with the declarations of kilometerwerk
    And in the file "until = 2027-06-30" is replaced by "until = 2020-06-30"
    When the command runs "check FILE"
    Then it exits with 0 and prints "[exception month-end-filing] expired on"

  Scenario: A preview lists the changed keys and whether the file would be accepted
    Given a file with the declarations of kilometerwerk
    And a second file with "attempts = 3" replaced by "attempts = 4"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 0 and prints "~ [defaults] attempts = 3 -> 4"
    Given a second file with "[model large-model]" replaced by "[model huge-model]"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 0 and prints "- [model large-model] context = 65536"
    Given a second file with "attempts = 3" replaced by "attempts = 30"
    When the command runs "publish-preview FILE SECOND"
    Then it exits with 1 and prints "would be refused"

  Scenario Outline: The exit code identifies the kind of failure
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

  Scenario: Events of a request from several logs are printed in order of time
    Given the logs of an entry and an endpoint with two requests
    When the command runs "explain aaaaaaaaaaaaaaaaaaaaaaaa.0.endpoint-1 ENTRY ENDPOINT"
    Then it exits with 0 and prints, in this order, "attempt-routed attempt-placed attempt-ended request-ended"
    And it does not print "bbbbbbbb"

  Scenario: The generated reference pages are up to date
    When the reference script checks the generated pages
    Then it exits with 0
