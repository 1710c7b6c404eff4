Feature: An endpoint process keeps no more of an answer without an end than an answer may have

  Scenario Outline: The connection of <what> is closed
    Given an endpoint process for <kind> that answers <status> with "<start>", and then "<piece>" again and again
    When attempt "a" of class "question" for 4 tokens is offered
    Then "a" ends as "<outcome>"
    And the connection to the sender is closed after 32 MB at most

    Examples:
      | what                                  | kind    | status | start                | piece | outcome |
      | an engine that sends one event        | engine  | 200    | x                    | x     | unknown |
      | an engine that goes on after its end  | engine  | 200    | data: [DONE]\n\n     | x     | done    |
      | an engine that fails and goes on      | engine  | 500    | x                    | x     | unknown |
      | a service whose answer has no end     | service | 200    | x                    | x     | unknown |
      | a service that fails and goes on      | service | 500    | x                    | x     | unknown |
