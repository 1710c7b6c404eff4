Feature: Entries that another writer leaves among those of the servers

  Guards against one entry that ends the processes which read the list, or keeps them
  from following it.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario Outline: An odd entry names no server, and all other changes are followed
    Given a gateway that is ready
    When an entry with <oddness> is written, and then the server "s-3" joins
    Then every gateway knows the servers "s-1 s-2 s-3" and the latest revision
    And 20 requests succeed, and no task has failed
    When a gateway starts that gets the entries of the store
    Then every gateway knows the servers "s-1 s-2 s-3" and the latest revision
    When a gateway starts that gets the entries from another gateway
    Then every gateway knows the servers "s-1 s-2 s-3" and the latest revision
    And no task has failed

    Examples:
      | oddness                           |
      | deep nesting                      |
      | deep nesting in each field        |
      | nesting near the limit            |
      | numbers too large                 |
      | numbers that are none             |
      | ports out of range                |
      | addresses of other kinds          |
      | texts that are none               |
      | texts too long                    |
      | texts with control characters     |
      | texts that can't be encoded       |
      | documents of other types          |
      | bytes that can't be read          |
      | ids with control characters       |
      | ids with characters beyond ASCII  |
      | keys that can't be encoded        |

  Scenario: A configuration that is nested at any depth is refused with a message
    Then each field of a configuration with any depth of nesting is refused
    And a route with an unknown field of any depth of nesting is used, or refused

  Scenario: An odd entry in place of one that has lapsed
    Given a gateway that is ready
    When the entry of "s-2" lapses in an outage, is odd when it is back, and time passes
    Then 20 requests succeed, and no task has failed
