Feature: A whole data centre that returns cold

  All endpoints of a data centre return dark and cold at once; its traffic would crash the
  first one that gets it (rule FAILBACK).

  Background:
    Given a store whose service bears 2 requests a second while it is cold for 3000 ms

  Scenario: The warm endpoints elsewhere take all traffic
    Given the servers "s-9" are listed in the data centre "b"
    And 2 connected gateways
    And the gateways have had time to learn of each other
    When the server "s-1" is listed while requests come
    And the server "s-2" is listed while requests come
    And 30 requests "GET /read/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "s-9" has received requests

  Scenario: Without a warm endpoint the allowance is used and the rest is rejected at once
    Given 3 connected gateways
    And the gateways have had time to learn of each other
    When the server "s-1" is listed while requests come
    And the server "s-2" is listed while requests come
    And 60 requests "GET /read/x" are sent to the gateways in turn
    Then in no second "s-1" received over 8 requests
    And in no second "s-2" received over 8 requests
    And "s-1" received at least 1 requests
    And the other callers get 503 with a time when the server takes a request
    And those times are spread over more than 500 ms and end 1500 ms from now at the latest
    When callers with a deadline of 30 s come
    Then those times are spread over more than 300 ms and end 3900 ms from now at the latest
    And they begin when the first server is warm

  Scenario: A retry and an endpoint that closes connections are counted
    Given 3 connected gateways
    And the gateways have had time to learn of each other
    When the server "s-1" is listed while requests come
    And every server closes its connections
    And 60 requests "GET /read/x" are sent to the gateways in turn
    Then in no second "s-1" received over 8 requests

  Scenario: Idle cold engines are for prompts that can wait, and get no other calls
    Given the model servers "m-1" are listed as cold for 0 ms
    And the model servers "m-2" are listed as cold for 9000 ms
    And 2 connected gateways
    And the gateways have had time to learn of each other
    When 20 prompts "GET /ask/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And only the server "m-1" has received requests
    When 20 prompts "GET /sum/x" are sent to the gateways in turn
    Then all callers got the server's answer
    And in no second "m-2" received over 8 requests
    And the server "m-2" was not asked for its cached segments
