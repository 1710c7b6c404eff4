Feature: Assembly of answers

  Scenario: An answer equals its chunks in order however they arrive
    Given any answer and any crossed, doubled and lost arrivals of its chunks
    Then assembly delivers what a naive version does and asks for each gap once

  Scenario: Chunks of another attempt are never mixed in
    Given any answer and any crossed, doubled and lost arrivals of its chunks
    Then chunks of another attempt change nothing

  Scenario: A wrong count or checksum is noticed
    Given any answer and any crossed, doubled and lost arrivals of its chunks
    Then an end that differs from the answer is never called whole

  Scenario: A whole completion says what its events say
    Given any words and finish reason of two choices
    Then the whole completion has each choice's text and reason
