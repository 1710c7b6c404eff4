Feature: A stream goes on only at the software version that began it

  Background:
    Given a store with the usual configuration

  Scenario: A stream is not joined of two software versions after its endpoint crashed
    Given the servers "s-1=v1 s-2=v1.1" with their software versions
    And a gateway that is ready
    And every server behaves as "stall"
    When "GET /resume/x" is sent and its endpoint crashes after two events
    Then the reply is incomplete and ends after a complete event
    And the request reached 1 server

  Scenario: Broken streams go on at endpoints of the versions that began them
    Given the servers "s-1=v1 s-2=v1.1 s-3=v1.2 s-4=v1 s-5=v1.1 s-6=v1.2" with their software versions
    And a gateway with a retry budget of 100
    When 6 requests "GET /resume/x" are sent, and the first endpoint of each breaks its stream off
    Then each is complete, from 2 endpoints of one software version

  Scenario: A stream without an event yet may begin at another software version
    Given the servers "s-1=v1 s-2=v1.1" with their software versions
    And a gateway that is ready
    And the server of the first send behaves as "fail"
    When "GET /resume/x" is sent
    Then the reply is 200 with every event once and in order
    And the request reached 2 servers

  Scenario Outline: A stream that its caller takes up is not joined of two software versions
    Given the servers "s-1=v1 s-2=v1.1 s-3=v1 s-4=v1.1" with their software versions
    And 2 connected gateway processes
    When 8 streams begin at one gateway and their callers take them up at <gateway>
    Then each goes on at the software version that began it

    Examples:
      | gateway                       |
      | the same one                  |
      | another one                   |
      | another one after it has died |

  Scenario Outline: No stream is joined of two software versions after all gateways were killed
    Given the servers "s-1=v1 s-2=v1.1 s-3=v1 s-4=v1.1" with their software versions
    And 2 connected gateway processes
    When 8 streams begin at one gateway and their callers take them up after <event>
    Then no stream goes on, and each caller gets 503 with Retry-After

    Examples:
      | event                                                                |
      | all gateways were killed                                             |
      | the servers "s-1 s-3" have left and all gateways were killed         |
      | the servers "s-1 s-3" left unnoticed while all gateways were killed  |

  Scenario: Streams of the only software version go on after all gateways were killed
    Given the servers "s-1=v1 s-2=v1" with their software versions
    And 2 connected gateway processes
    When 8 streams begin at one gateway and their callers take them up after all gateways were killed
    Then each goes on at the software version that began it

  Scenario Outline: Streams of engines go on at their software version after all gateways were killed
    Given the model servers "s-1=v1 s-2=v1.1 s-3=v1 s-4=v1.1" with their software versions
    And 2 connected gateway processes
    When 8 streams begin at one gateway and their callers take them up after <event>
    Then each goes on at the software version that began it, if one of its endpoints is left

    Examples:
      | event                                                        |
      | all gateways were killed                                     |
      | the servers "s-1 s-3" have left and all gateways were killed |

  Scenario Outline: The store's history is read from the earliest revision that it has
    Given the servers "s-1=v1 s-2=v1.1" with their software versions
    When the server "s-1" leaves, the history <is dropped>, and 5 other items change
    And the history of the servers is read
    Then it has <changes> changes, it is <complete>, and at most 12 calls were made

    Examples:
      | is dropped           | changes | complete                          |
      | is kept              | 4       | that of the whole store           |
      | is dropped before it | 2       | not that of the whole store       |
      | is dropped after it  | 0       | not that of the whole store       |
      | is dropped at last   | 0       | empty, as if nothing had happened |

  Scenario: Ids that callers use again don't join streams
    Given the origins of streams
    When the request "a" of "workshop" begins a stream at "v1" and one at "v1.1"
    And the request "a" of "archive" begins a stream at "v1.1"
    Then the origin of "a" of "workshop" is ambiguous
    And the origin of "a" of "archive" is "v1.1"
    And nothing is known of any of them after 60 s

  Scenario Outline: Streams of a route that is split go on at the service that began them
    Given the servers "s-1=v1 s-2=v1" with their software versions
    And the servers "s-3=v1 s-4=v1" of another service, between which the route is split
    And 2 connected gateway processes
    When 8 streams begin at one gateway and their callers take them up <where>
    Then each goes on at the service that began it

    Examples:
      | where                          |
      | at another one                 |
      | after all gateways were killed |
