Feature: Faults of the gateway's host, clock, peers and servers

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed

  Scenario: SIGHUP applies changed settings and loses no request
    Given a gateway process that is ready
    And every server behaves as "hold"
    When the settings change and SIGHUP is sent while a request is in flight
    Then the log reports that the settings changed
    And the request in flight gets its complete answer

  Scenario: Settings that change without a signal are applied too
    Given a gateway process that is ready
    When the settings change
    Then the log reports that the settings changed

  Scenario: A process that was suspended applies the changes that it missed
    Given a gateway process that is ready
    And every server behaves as "hold"
    When it is suspended with a request in flight, and version 9 removes "key-1" and "s-1" drains
    And it is resumed
    Then the request in flight gets its complete answer
    And a request with "key-1" gets 401, and 6 requests with "other-key" do not reach "s-1"

  Scenario: Wall clock jumps in both directions do not affect timeouts
    Given a gateway that is ready
    And every server behaves as "hold"
    When the wall clock jumps by 2400 s and back while requests are in flight
    Then only the requests with a deadline of 300 ms ended, none of them early
    And the gateway's clock has advanced by less than a minute
    And the request in flight gets its complete answer

  Scenario: All processes are killed at once during a store outage
    Given 3 gateway processes that are ready
    When all are killed at once and restart while the store refuses calls
    Then each answers 503 with Retry-After and is not ready
    When the store recovers
    Then each is ready and answers requests

  Scenario: A stream that stalls is resumed on another server
    Given a gateway that is ready
    And the server of the first send behaves as "stall"
    When "GET /gaps/x" is sent
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers
    And the server's run was cancelled

  Scenario: A peer's load is discarded when its connection times out
    Given the model servers "m-1 m-2" with 4 slots
    And a gateway that is ready
    When a peer reports 5 sends and then sends no more messages
    Then the gateway includes them in its load
    And it discards them after the timeout

  Scenario: A process that starts reads the engines' cached segments
    Given the model servers "m-1 m-2 m-3 m-4" with 4 slots
    And each model server for long prompts has cached a segment of its own
    And a gateway process that is ready
    When one prompt with each of the segments is sent
    Then each reached the model server that has cached its segment
    When the process is killed and restarted
    And one prompt with each of the segments is sent
    Then each reached the model server that has cached its segment

  Scenario: An engine with a full batch starts the more urgent queued prompt first
    Given the model server "m-1" with 1 slot and an engine that is not started
    And a gateway that is ready
    When a prompt of a less urgent route is queued and then one of a more urgent
    And the engine starts
    Then the more urgent prompt gets its first event before the other
