Feature: A store that is restored from an older copy
  Revisions go back and are assigned again; the store's era rises by one.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2 s-3" are listed

  Scenario: A restored store reverts neither the configuration nor a server's leaving
    Given a gateway that is ready
    And a copy of the store
    When configuration version 9 removes the API key "key-1"
    And the server "s-1" reports that it is draining
    And the server "s-2" is removed from the store
    And the store is restored from the copy
    Then the configuration in force is version 9
    When "GET /read/x" is sent
    Then the reply is 401 without a signature
    When "GET /read/x" is sent 10 times with the key "other-key"
    Then only the server "s-3" has received requests
    And the restore is logged once

  Scenario: Changes after a restore are applied although their revisions are lower
    Given a gateway that is ready
    And a copy of the store
    When configuration version 9 is published with 20 other changes
    And the store is restored from the copy
    And configuration version 10 removes the API key "key-1"
    And "GET /read/x" is sent
    Then the reply is 401 without a signature

  Scenario: A watch that a restored store answers is followed by a read of all items
    Given a gateway that is ready
    And a copy of the store
    When the server "s-1" is removed from the store
    And the store is restored from the copy and reaches the same revision before its answer
    Then the gateway knows all items of the store

  Scenario: A server that the copy lacks stays in use until the time to return is over
    Given a copy of the store
    And the servers "s-4" are listed
    And a gateway that is ready
    When the store is restored from the copy
    Then the gateway uses the server "s-4"
    When the grace period of expired entries is over
    Then the gateway does not use the server "s-4"

  Scenario: A server that the copy lacks is kept once it has written its entry again
    Given a copy of the store
    And the servers "s-4" are listed
    And a gateway that is ready
    When the store is restored from the copy
    And the server "s-4" writes its entry again
    And the grace period of expired entries is over
    Then the gateway uses the server "s-4"

  Scenario: A removed server whose entry a copy brings back is used once it has lasted
    Given a gateway that is ready
    And a copy of the store
    When the server "s-1" is removed from the store
    And the store is restored from the copy
    Then the gateway does not use the server "s-1"
    When the time in which an unattended entry expires is over
    Then the gateway uses the server "s-1"

  Scenario: A gateway without store access learns of the restore from a peer
    Given a copy of the store
    And the servers "s-4" are listed
    And 2 connected gateways
    When the store connection of the first gateway is refused
    And the store is restored from the copy
    Then the first gateway has the revision of the store
    And the gateway uses the server "s-4"
    When the grace period of expired entries is over
    Then the gateway does not use the server "s-4"

  Scenario: Late answers of older eras are dropped in any order
    When reads of several eras arrive in any order
    Then the items are those of the last era and no configuration or leaving is reverted

  Scenario: A process that starts while the store is unreachable logs one lost dependency
    Given the store does not listen
    And a gateway that has started
    When the store has been unreachable for several attempts
    And the store listens again
    Then the log has one lost and one regained store, and no failed task
