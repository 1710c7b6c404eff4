Feature: A read barrier shows that all earlier changes are known

  Guards against conclusions from what a process heard before it stood still.

  Scenario: Changes that the store had are waited for
    Given a read barrier over a store that answers within 4 ms
    When the store changes, the process hears of it after 200 ms, and 1 task waits
    Then it is current after 200 ms

  Scenario: A read that has begun doesn't cover a later change
    Given a read barrier over a store that answers within 400 ms
    When a task waits, the store changes 100 ms later, and another task waits
    Then only the first one is current, and the store was read 2 times

  Scenario: Tasks that wait at the same time share reads
    Given a read barrier over a store that answers within 4 ms
    When 100 tasks wait at the same time, and 100 more during the read
    Then all are current, and the store was read 2 times

  Scenario Outline: A store that can't be read shows nothing
    Given a read barrier over a store that <answers>
    When 1 task waits
    Then it is not current after <milliseconds> ms

    Examples:
      | answers                | milliseconds |
      | refuses within 4 ms    | 4            |
      | answers within 3000 ms | 700          |

  Scenario: A task that gives up leaves the read to the others
    Given a read barrier over a store that answers within 400 ms
    When 2 tasks wait, and the first one is cancelled
    Then only the second one is current, and the store was read 1 time
