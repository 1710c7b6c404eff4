Feature: Crowds of misbehaving callers end no process

  Guards against a process that exceeds the memory or the descriptors of its host
  because callers send bodies that they don't finish, very many header fields, many
  requests whose answers they don't read, or open connections that they don't use.
  The load is that of issue 40: a host with little memory beyond what an idle process
  takes, and crowds that want several times as much.

  Each scenario checks only that the process lives within its limits and that an
  ordinary request is answered while the crowd is still connected.

  Background:
    Given a gateway process with 80 MiB of memory and 400 descriptors

  Scenario Outline: Bodies at <place>: <kind>
    Given servers that hold the requests of the crowd
    When <count> callers send "<kind>" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples: At a route
      | place   | count | kind                                    |
      | a route | 120   | bodies that stop short, in one piece    |
      | a route | 120   | bodies that stop short, in small pieces |
      | a route | 120   | bodies that stop short, in chunks       |
      | a route | 120   | complete bodies                         |
      | a route | 60    | bodies over the limit                   |
      | a route | 60    | bodies over the limit, in chunks        |
      | a route | 200   | many short header fields                |

    Examples: At a path without a route
      | place                  | count | kind                                    |
      | a path without a route | 120   | bodies that stop short, in one piece    |
      | a path without a route | 120   | bodies that stop short, in small pieces |
      | a path without a route | 120   | bodies that stop short, in chunks       |
      | a path without a route | 120   | complete bodies                         |
      | a path without a route | 60    | bodies over the limit                   |
      | a path without a route | 60    | bodies over the limit, in chunks        |
      | a path without a route | 200   | many short header fields                |

    Examples: At the other listeners
      | place                  | count | kind                                 |
      | the readiness listener | 120   | bodies that stop short, in one piece |
      | the readiness listener | 120   | bodies that stop short, in chunks    |
      | the readiness listener | 120   | complete bodies                      |
      | the readiness listener | 60    | bodies over the limit                |
      | the readiness listener | 60    | bodies over the limit, in chunks     |
      | the readiness listener | 200   | many short header fields             |
      | the metrics listener   | 120   | bodies that stop short, in one piece |
      | the metrics listener   | 120   | bodies that stop short, in chunks    |

  Scenario Outline: Connections at <place>: <kind>
    When <count> callers send "<kind>" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | place                  | count | kind                |
      | a route                | 600   | half a header block |
      | a route                | 600   | half a request line |
      | a route                | 600   | nothing             |
      | a route                | 600   | one byte at a time  |
      | a route                | 600   | one request each    |
      | the readiness listener | 600   | half a header block |
      | the readiness listener | 600   | nothing             |
      | the readiness listener | 600   | one byte at a time  |
      | the metrics listener   | 600   | half a header block |
      | the metrics listener   | 600   | nothing             |
      | the peer listener      | 600   | nothing             |
      | the peer listener      | 600   | one byte at a time  |
      | the peer listener      | 60    | a huge frame        |
      | the peer listener      | 60    | half a message      |
      | all listeners          | 1000  | nothing             |
      | all listeners          | 1000  | half a header block |

  Scenario Outline: Unread answers at <place>: <kind>
    Given servers whose answers have <bytes> bytes
    When <count> callers send "<kind>" to <place>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | place                  | count | kind                           | bytes   |
      | a route                | 40    | pipelined requests             | 100     |
      | a route                | 120   | pipelined requests             | 1000000 |
      | a route                | 240   | pipelined requests for streams | 1000000 |
      | a route                | 240   | streams, read slowly           | 1000000 |
      | a path without a route | 40    | pipelined requests             | 100     |
      | the readiness listener | 40    | pipelined requests             | 100     |
      | the metrics listener   | 40    | pipelined requests             | 100     |
