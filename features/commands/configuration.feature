Feature: Check of a platform's configuration before it is published

  Scenario: A configuration without mistakes is accepted
    Given a platform configuration
    When the command runs "check-configuration FILE"
    Then it exits with 0 and prints "ok"

  Scenario Outline: A mistake is printed with its entry
    Given a platform configuration
    And in it <path> is <value>
    When the command runs "check-configuration FILE"
    Then it exits with 1 and prints "<text>"

    Examples: documents that gateways refuse
      | path             | value   | text                  |
      | version          | "seven" | op/config.version     |
      | routes.0.service | ""      | routes[0].service     |

    Examples: entries that never match, or for another one
      | path                | value              | text                                          |
      | routes.0.prefix     | "/book/"           | has the same host and prefix and wins         |
      | routes.0.prefix     | "read/"            | no path begins with its prefix                |
      | routes.0.hostname   | "films.example:80" | hosts are compared without a port             |
      | routes.0.service    | "nowhere"          | route read: service nowhere does not exist    |
      | routes.2.split      | [{"service": "plain", "weight": 0}, {"service": "model", "weight": 2}] | route tell: its share for service plain has the weight 0 |
      | tenants.1.api_keys  | ["secret-1"]       | they have 1 API keys in common, which count for second |
      | tenants.1.name      | "first"            | workspace first: 2 entries have this name     |

    Examples: limits that contradict each other
      | path                       | value | text                                                |
      | routes.0.target_latency_ms | 5001  | route read: target_latency_ms is above timeout_ms   |
      | routes.0.target_gap_ms     | 5001  | route read: target_gap_ms is above timeout_ms       |
      | limits.idle_timeout_ms     | 2999  | idle_timeout_ms is below header_timeout_ms          |
      | services.0.cold_per_s      | 6.6   | service plain: cold_per_s has no effect             |

  Scenario Outline: An entry without effect is a notice
    Given a platform configuration
    And in it <path> is <value>
    When the command runs "check-configuration FILE"
    Then it exits with 0 and prints "<text>"

    Examples:
      | path                  | value | text                                     |
      | services.1.name       | "old" | notice: service old: no route leads      |
      | tenants.1.api_keys    | []    | notice: workspace second: it has no keys |
      | routes.1.max_attempts | 2     | notice: route book: max_attempts = 2     |

  Scenario Outline: API keys are not printed
    Given a platform configuration
    And in it <path> is <value>
    When the command runs "check-configuration FILE --against OLD --json"
    Then it exits with <code>
    And it does not print "secret"

    Examples:
      | path               | value                    | code |
      | tenants.1.api_keys | ["secret-1"]             | 1    |
      | tenants.1.api_keys | "secret-2"               | 1    |
      | tenants.1          | "secret-2"               | 1    |
      | tenants            | {"a": "secret-2"}        | 1    |

  Scenario: Changes from the version in force are printed
    Given a platform configuration
    And in it version is 8
    And in it routes.0.name is "look"
    And in it routes.1.timeout_ms is 6000
    And in it tenants.1.api_keys is ["secret-2", "secret-3"]
    When the command runs "check-configuration FILE --against OLD"
    Then it exits with 0 and prints "- route read"
    And it exits with 0 and prints "+ route look"
    And it exits with 0 and prints "~ route book timeout_ms = 5000 -> 6000"
    And it exits with 0 and prints "~ workspace second api_keys = 1 keys -> 1 added, 0 removed"
    And it does not print "secret"

  Scenario: A version that is not above the one in force is a mistake
    Given a platform configuration
    When the command runs "check-configuration FILE --against OLD --json"
    Then it exits with 1 and prints JSON where "mistakes.0.place" is "version"

  Scenario: A file that can't be read is an error of the command line
    Given a platform configuration
    When the command runs "check-configuration FILE --against /nowhere.json"
    Then it exits with 2
