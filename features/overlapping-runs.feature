Feature: A task runs on at most one worker at a time

  Background:
    Given a cell of 3 controllers and 2 entries
    And 3 workers behind proxies

  Scenario: A worker is disconnected until its lease has expired
    When an operator applies the service "gauge-intake" of 6 tasks
    Then all tasks of "gauge-intake" are running
    When the worker "worker-1" is disconnected
    And 9 s pass
    Then the worker "worker-1" runs no tasks
    And all tasks of "gauge-intake" are running
    When the network faults of the worker "worker-1" end
    And an operator applies the batch "rainfall" of 20 tasks that run 200 ms
    Then all tasks of "rainfall" succeed

  Scenario: Commands reach a worker and its answers are lost
    When answers of the worker "worker-2" are dropped
    And an operator applies the batch "rainfall" of 24 tasks that run 300 ms
    And 3 s pass
    And the network faults of the worker "worker-2" end
    Then all tasks of "rainfall" succeed

  Scenario: Commands reach a worker late
    When commands to the worker "worker-3" are delayed by 1200 ms
    And an operator applies the batch "rainfall" of 24 tasks that run 300 ms
    And 3 s pass
    And the leader is killed
    And the network faults of the worker "worker-3" end
    Then all tasks of "rainfall" succeed
