Feature: Crowds of misbehaving callers end no process of the product's own interface

  Guards against an entry or an endpoint process that takes more memory than control
  may take on a host, or whose descriptors run out, because of callers that send large
  bodies or nothing.  Memory is what is resident together with what the process's
  sockets have received and not read.

  The crowd is that of issue 52: 150 callers at processes with 256 MiB.

  Scenario Outline: Bodies at <place>: <kind>
    Given 1 entry processes and endpoints with 1024 descriptors
    And engines and services that give no answer
    When 150 callers send "<kind>" to <place>
    Then the processes live within their limits
    And an ordinary request is answered

    Examples: At an entry
      | place                    | kind                           |
      | the callers of entry-0   | bodies of 24 MB                |
      | the callers of entry-0   | chunks without an end          |
      | the callers of entry-0   | complete calls                 |
      | the callers of entry-0   | bodies of 2 MB that stop short |
      | the callers of entry-0   | many small values              |
      | the operators of entry-0 | bodies of 24 MB                |
      | the operators of entry-0 | chunks without an end          |
      | the operators of entry-0 | complete bodies of 2 MB        |

    Examples: At an endpoint process
      | place                       | kind                  |
      | the operators of endpoint-0 | bodies of 24 MB       |
      | the operators of endpoint-0 | chunks without an end |
      | the streams of endpoint-0   | bytes without an end  |
      | the streams of endpoint-0   | half a message        |

  Scenario: Calls that several entries accept don't exceed the memory of an endpoint
    Given 3 entry processes and endpoints with 1024 descriptors
    And engines and services that give no answer
    When 150 callers send "complete calls" to the callers of all entries
    Then the processes live within their limits
    And an ordinary request is answered

  Scenario Outline: Bodies at an entry that stops: <kind>
    Given 1 entry processes and endpoints with 1024 descriptors
    And engines and services that give no answer
    When entry-0 stops while 150 callers send "<kind>" to the callers of entry-0
    Then the process stopped by itself within its limits

    Examples:
      | kind                  |
      | chunks without an end |
      | complete calls        |

  Scenario Outline: Connections at <place>: <kind>
    Given 1 entry processes and endpoints with 400 descriptors
    When 600 callers send "<kind>" to <place>
    Then the processes live within their limits
    And an ordinary request is answered

    Examples:
      | place                       | kind                |
      | the callers of entry-0      | nothing             |
      | the callers of entry-0      | half a request line |
      | the operators of entry-0    | nothing             |
      | the operators of endpoint-0 | nothing             |
      | the streams of endpoint-0   | nothing             |

  Scenario Outline: A caller that reads learns at <place> that its body is too large: <kind>
    Given 1 entry processes and endpoints with 1024 descriptors
    When a caller that reads sends "<kind>" to <place>
    Then the caller gets 413 and a code

    Examples:
      | place                       | kind                         |
      | the callers of entry-0      | bodies of 24 MB              |
      | the callers of entry-0      | the head of a body of 24 MB  |
      | the callers of entry-0      | chunks without an end        |
      | the operators of entry-0    | bodies of 24 MB              |
      | the operators of endpoint-0 | chunks without an end        |

  Scenario: Calm processes accept bodies of the largest legal size, one after another
    Given 1 entry processes and endpoints with 1024 descriptors
    When 40 calls of the largest size are sent to the callers of entry-0 one after another
    Then each call is answered
    And the processes live within their limits

  Scenario: A calm entry accepts a chat request of the largest size, whatever it contains
    Given 1 entry processes and endpoints with 1024 descriptors
    When 3 times "many small values" are sent to the callers of entry-0
    Then each call is answered
    And the processes live within their limits
