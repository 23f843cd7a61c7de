Feature: Controllers are replaced while the cell serves

  Scenario: A controller whose data is lost is replaced, and then the leader is killed
    Given a cell of 3 controllers and 2 entries
    And 2 workers
    When an operator applies the service "gauge-intake" of 2 tasks
    Then all tasks of "gauge-intake" are running
    When a follower is killed and restarted with an empty data folder
    Then it does not acknowledge log entries
    When an operator removes it and adds "controller-4" instead
    Then "controller-4" becomes a voter
    When the leader is killed
    And an operator applies the batch "rainfall" of 6 tasks that run 200 ms
    Then all tasks of "rainfall" succeed
    And all tasks of "gauge-intake" are running

  Scenario: An unsafe removal is refused with a reason
    Given a cell of 3 controllers and 1 entries
    Then the removal of a follower is refused with a reason
    And the audit trail has the refused removal
