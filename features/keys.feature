Feature: Processes authenticate each other by TLS keys

  Scenario: A cell with keys serves, and an entry with keys of another authority is rejected
    Given a cell of 3 controllers and 2 entries with keys
    And 2 workers
    When an operator applies the batch "rainfall" of 4 tasks that run 100 ms
    Then all tasks of "rainfall" succeed
    When an entry with keys of another authority starts
    Then it is not ready after 3 s
    When the leader is killed
    And an operator applies the batch "rainfall-2" of 4 tasks that run 100 ms
    Then all tasks of "rainfall-2" succeed
