Feature: The account of memory and descriptors decides whom to admit and evict

  Guards against refusing ordinary requests while large or unused holders keep their
  room, and against refusing what fits while the process is calm.  The load is that of
  issue 40: large bodies that stop short, and connections that are never used.

  Scenario Outline: Limits follow from those of the host
    Given a host with <memory> MiB and <descriptors> descriptors, of which an idle process takes 38 MiB
    Then connections may hold <budget> MiB and <sockets> sockets

    Examples:
      | memory | descriptors | budget | sockets |
      | 160    | 3075        | 82.5   | 2779    |
      | 552    | 10250       | 376.5  | 9954    |
      | 160    | 400         | 82.5   | 150     |
      | 40     | 3075        | 1      | 2779    |

  Scenario: A calm process admits a body of the largest size, one at a time
    Given a host with 56 MiB and 3075 descriptors, of which an idle process takes 38 MiB
    When a body of 4194304 bytes is announced
    Then it is admitted
    When it ends
    And a body of 4194304 bytes is announced
    Then it is admitted

  Scenario: Bodies that stop short give way to a later one, the largest and oldest first
    Given a host with 160 MiB and 3075 descriptors, of which an idle process takes 38 MiB
    When 17 bodies of 4000000 bytes stop short
    And 5 s pass at the account
    And 40 bodies of 1000 bytes stop short
    And a body of 4000000 bytes is announced
    And a body of 4000000 bytes is announced
    Then it is admitted
    And some of the first 17 were evicted, and none of the 40

  Scenario: Requests in work are not evicted, and further large ones are refused
    Given a host with 160 MiB and 3075 descriptors, of which an idle process takes 38 MiB
    When 17 requests with bodies of 4000000 bytes are in work
    And a body of 4000000 bytes is announced
    Then it is refused
    And nobody was evicted
    When a body of 5000 bytes is announced
    Then it is admitted

  Scenario: A connection that was never used gives way to a new one
    Given a host with 160 MiB and 400 descriptors, of which an idle process takes 38 MiB
    When 20 connections have had an answer
    And 130 connections send nothing
    And 40 connections send nothing
    Then the first 40 of the 130 were evicted

  Scenario: A request for which no descriptor is left is refused before it is sent
    Given a host with 160 MiB and 400 descriptors, of which an idle process takes 38 MiB
    When 75 requests with bodies of 100 bytes are in work
    Then no further connection is admitted

  Scenario: A process that takes more memory than the account knows lets less in
    Given a host with 160 MiB and 3075 descriptors, of which an idle process takes 38 MiB
    When 17 bodies of 4000000 bytes stop short
    And the process is measured with 170 MiB
    Then connections hold at most 50 MiB

  Scenario: Unused connections at one listener leave the others alone
    Given a host with 160 MiB and 3075 descriptors, of which an idle process takes 38 MiB
    When 20 connections have had an answer
    And 3000 connections to the readiness listener send nothing
    Then 64 of them are open, and nobody else was evicted
