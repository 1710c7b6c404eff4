Feature: Answers that have started and can't be completed

  Guards against a second status line in the middle of an answer: a refusal that was
  decided after the first event had been forwarded was written as an answer of its own.

  Background:
    Given a store with the usual configuration
    And the servers "s-1 s-2" are listed
    And a gateway that is ready

  Scenario Outline: A stream that may not be sent again ends as incomplete
    When a stream of "/gaps/x" has begun, its retry is refused by <refusal>, and its server is <end>
    Then its caller gets one status line, complete events and the end of the connection
    And the cut answer is logged with its cause

    Examples:
      | refusal                     | end    |
      | a quarantine of its segment | silent |
      | a quarantine of its segment | closed |
      | a quarantine of its segment | reset  |
      | a quarantine of its segment | killed |
      | a quarantine of the request | silent |
      | a quarantine of the request | killed |
      | the lack of endpoints       | silent |
      | the lack of endpoints       | closed |
      | the lack of endpoints       | killed |
      | the retry budget            | silent |
      | the retry budget            | closed |
      | the retry budget            | reset  |
      | servers that shed it        | silent |
      | servers that shed it        | closed |
      | servers that fail it        | silent |
      | servers that fail it        | reset  |
      | servers that are down       | killed |

  Scenario: A request that may not be sent again gets one answer
    When "/gaps/x" is held by its server, its segment is quarantined, and the server is killed
    Then its caller gets one complete 502
