Feature: A gateway that stood still during a release joins no streams

  Guards against taking what was heard before the stop for what the store has now.

  Background:
    Given a store with the usual configuration

  Scenario Outline: A gateway that stood still joins no stream of two software versions
    Given the servers "s-1=v1 s-2=v1" with their software versions
    And 2 connected gateway processes, which know the versions of the last 2 s
    When the second gateway stands still for <seconds> s while "s-3=v1.1 s-4=v1.1 s-5=v1.1 s-6=v1.1" join
    And 8 streams that began meanwhile at the first one are taken up at it, <when>
    Then none is joined of two software versions

    Examples:
      | seconds | when                                 |
      | 1       | while the first one serves           |
      | 1       | after the first one has died         |
      | 4       | while the first one serves           |
      | 4       | after the first one has died         |
