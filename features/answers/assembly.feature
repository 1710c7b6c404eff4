Feature: Assembly of answers

  Scenario: An answer equals its chunks in order for any order of arrival
    Given any answer whose chunks arrive reordered, duplicated or not at all
    Then assembly delivers the same chunks as a reference model and reports each gap once

  Scenario: Chunks of another attempt are ignored
    Given any answer whose chunks arrive reordered, duplicated or not at all
    Then chunks of another attempt have no effect

  Scenario: A wrong count or checksum is detected
    Given any answer whose chunks arrive reordered, duplicated or not at all
    Then an end that differs from the answer is never accepted

  Scenario: An assembled completion contains the content of its events
    Given any words and finish reason of two choices
    Then the completion has the text and finish reason of each choice
