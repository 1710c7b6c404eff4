Feature: Servers that send bytes without an end end no process

  Guards against a gateway that keeps what a faulty server sends: its memory runs out,
  and the requests of all its callers end with it.

  Background:
    Given a gateway process with 80 MiB of memory and 400 descriptors

  Scenario Outline: Answers without an end: <behaviour>, <kind>
    Given servers that answer the crowd with "<behaviour>"
    When <count> callers send "<kind>" to a route
    Then the process lives within its limits
    And an ordinary request is answered

    Examples:
      | behaviour      | kind             | count |
      | endless-head   | one request each | 120   |
      | endless-head   | one stream each  | 120   |
      | endless-fields | one request each | 120   |
      | endless-fields | one stream each  | 120   |
      | endless-body   | one request each | 120   |
      | endless-body   | one stream each  | 120   |
      | many-fields    | one request each | 120   |
      | many-fields    | one stream each  | 120   |
