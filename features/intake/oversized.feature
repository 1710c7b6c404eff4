Feature: Callers far over the limits end no gateway process

  Guards against a process that exceeds the memory of its host because of bodies far
  over the limit, announced or just sent.  Memory is what is resident together with
  what the process's sockets have received and not read.

  The crowd is that of issue 52: 200 callers with 24 MB each at a process with 160 MiB.

  Scenario Outline: Far over the limit at <place>: <kind>
    Given a gateway process with 160 MiB of memory, 3075 descriptors and bodies of up to 4000000 bytes
    And servers that hold the requests of the crowd
    When 200 callers send "<kind>" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | place                  | kind                   |
      | a route                | bodies of 24 MB        |
      | a route                | chunks without an end  |
      | a route                | pipelined bodies       |
      | a path without a route | bodies of 24 MB        |
      | a path without a route | chunks without an end  |
      | the readiness listener | bodies of 24 MB        |
      | the readiness listener | chunks without an end  |
      | the readiness listener | pipelined bodies       |
      | the metrics listener   | bodies of 24 MB        |
      | the metrics listener   | chunks without an end  |
      | the peer listener      | bytes without an end   |
      | the peer listener      | chunks without an end  |

  Scenario Outline: Far over the limit at a host with <memory> MiB: <count> callers at <place>
    Given a gateway process with <memory> MiB of memory, <descriptors> descriptors and bodies of up to 4000000 bytes
    When <count> callers send "chunks without an end" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | memory | descriptors | count | place                  |
      | 300    | 4100        | 250   | a route                |
      | 160    | 3075        | 1000  | a route                |
      | 160    | 3075        | 1000  | a path without a route |

  Scenario Outline: Large answers that callers don't read: <kind>
    Given a gateway process with 160 MiB of memory and 3075 descriptors
    And servers whose answers have 8000000 bytes
    When 1200 callers send "<kind>" to a route
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | kind             |
      | one request each |
      | one stream each  |

  Scenario Outline: Far over the limit while the process stops: <kind>
    Given a gateway process with 160 MiB of memory, 3075 descriptors and bodies of up to 4000000 bytes
    And servers that hold the requests of the crowd
    When the process stops while 200 callers send "<kind>" to a route
    Then the process ended by itself within its limits

    Examples:
      | kind                  |
      | bodies of 24 MB       |
      | chunks without an end |
      | pipelined bodies      |

  Scenario Outline: Far over the limit before there is a configuration: <kind>
    Given a gateway process with 160 MiB of memory, 3075 descriptors and no configuration
    When 200 callers send "<kind>" to a route
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | kind                  |
      | bodies of 24 MB       |
      | chunks without an end |

  Scenario Outline: Far over the limit at <place> of a suspended process: <kind>
    Given a gateway process with 80 MiB of memory and 400 descriptors
    When the process is suspended while <count> callers send "<kind>" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | place                  | count | kind                  |
      | a route                | 600   | chunks without an end |
      | the readiness listener | 200   | chunks without an end |
      | the metrics listener   | 200   | chunks without an end |
      | the peer listener      | 200   | bytes without an end  |
      | all listeners          | 600   | chunks without an end |

  Scenario Outline: A caller that reads learns at <place> that its body is too large: <kind>
    Given a gateway process with 160 MiB of memory, 3075 descriptors and bodies of up to 4000000 bytes
    When a caller that reads sends "<kind>" to <place>
    Then the caller gets 413 and a code
    And no server received a request of the crowd

    Examples:
      | place                  | kind                         |
      | a route                | bodies of 24 MB              |
      | a route                | the head of a body of 24 MB  |
      | a route                | chunks without an end        |
      | the readiness listener | bodies of 24 MB              |
      | the readiness listener | chunks without an end        |
      | the metrics listener   | bodies of 24 MB              |
