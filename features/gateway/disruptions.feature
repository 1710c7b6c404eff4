Feature: Gateways whose host, clock, peers or servers fail them

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario: SIGHUP puts changed settings in force and loses no request
    Given a gateway process that is ready
    And every server behaves as "hold"
    When a request is under way, the settings change and SIGHUP is sent
    Then the log says that the settings changed
    And the request under way gets its whole answer

  Scenario: Settings that change without a signal are in force too
    Given a gateway process that is ready
    When the settings change
    Then the log says that the settings changed

  Scenario: A process that was frozen catches up with what it missed
    Given a gateway process that is ready
    And every server behaves as "hold"
    When it is frozen while a request is under way, and version 9 takes "key-1" away and "s-1" leaves
    And it wakes
    Then the request under way gets its whole answer
    And the key "key-1" gets 401, and 6 calls with "other-key" do not reach "s-1"

  Scenario: The time of day jumps in both directions, and no time limit moves
    Given a gateway that is ready
    And every server behaves as "hold"
    When the time of day jumps by 2400 s and back while calls are under way
    Then a call with 300 ms left ended after that time, and no other did
    And the gateway's clock has gone on by less than a minute
    And the request under way gets its whole answer

  Scenario: All processes are killed at once while the store is away
    Given 3 gateway processes that are ready
    When all are killed at once and start again while the store refuses them
    Then each answers 503 with a time to come back, and is not ready
    When the store is back
    Then each is ready and serves

  Scenario: A connection to a server that falls silent midway is replaced
    Given a gateway that is ready
    And the server of the first send behaves as "stall"
    When "GET /gaps/x" is sent
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers
    And the server's run was cancelled

  Scenario: What a peer had sent is forgotten when its connection falls silent
    Given the model servers "m-1 m-2" with 4 slots
    And a gateway that is ready
    When a peer says that it sends 5 prompts, and falls silent
    Then the gateway counts them
    And it forgets them after the silence

  Scenario: A process that starts asks the engines what they keep
    Given the model servers "m-1 m-2 m-3 m-4" with 4 slots
    And each model server for long prompts keeps a part of its own
    And a gateway process that is ready
    When a prompt with each of the parts is sent
    Then each went to the model server that keeps its part
    When the process is killed and starts again
    And a prompt with each of the parts is sent
    Then each went to the model server that keeps its part

  Scenario: A batch that is full takes the more urgent prompt first
    Given the model server "m-1" with 1 slot, whose engine stands still
    And a gateway that is ready
    When a prompt of a less urgent route waits there, and then one of a more urgent
    And the engine begins
    Then the more urgent one had its first event before the other
