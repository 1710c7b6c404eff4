Feature: A command whose answer breaks off reports a lost connection

  Guards against an answer whose head broke off and that was printed as an empty one,
  with the exit code of a success; and against the exit code of an unreachable process,
  which says that nothing was sent, after a connection that was lost later.

  Scenario Outline: "<command>" is answered "<bytes>", and the connection is <end>
    Given a process that answers "<bytes>", and whose connection is <end>
    When the command runs "<command>" for it
    Then it exits with <code>

    Examples:
      | command                                 | bytes                                               | end    | code |
      | send URL text --service s --path p      | HTTP/1.1 200 OK\r\n                                 | closed | 5    |
      | send URL text --service s --path p      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n            | closed | 5    |
      | send URL text --service s --path p      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r  | closed | 5    |
      | send URL text --service s --path p      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort   | closed | 5    |
      | send URL text --service s --path p      |                                                     | reset  | 5    |
      | send URL text --service s --path p      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole   | closed | 0    |
      | status URL                              | HTTP/1.1 200 OK\r\n                                 | closed | 3    |
