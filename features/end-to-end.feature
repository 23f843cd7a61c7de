Feature: Work of every kind runs from submission to completion, before and after the leader is killed

  Scenario: Every kind of work is placed and runs, also after the leader is killed
    Given a cell of 3 controllers and 2 entries
    And 3 workers
    And 2 runners of "dispatch"
    When an operator applies the service "dispatch-api" of 3 tasks
    And an operator applies the batch "route-rebuild" of 6 tasks that run 300 ms
    And an operator applies the gang "spill-reconstruction" of 4 tasks that run 300 ms
    Then all tasks of "dispatch-api" are running
    And all tasks of "route-rebuild" succeed
    And all tasks of "spill-reconstruction" succeed
    And the caller gets the complete answer to request "lookup-1" of "dispatch"
    When the leader is killed
    And an operator applies the batch "route-rebuild-2" of 6 tasks that run 300 ms
    Then all tasks of "route-rebuild-2" succeed
    And all tasks of "dispatch-api" are running
    And the caller gets the complete answer to request "lookup-2" of "dispatch"
