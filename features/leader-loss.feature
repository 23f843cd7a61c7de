Feature: No work runs twice and no caller receives an incorrect outcome when the leader fails

  Background:
    Given a cell of 3 controllers and 3 entries
    And 4 workers
    And 3 runners of "reconcile" that take 10 ms

  Scenario Outline: The leader is <fault> under load
    Given callers send 100 requests a second to "reconcile" for 8 s
    When an operator applies the service "gauge-intake" of 6 tasks
    And an operator applies the batch "rainfall" of 40 tasks that run 400 ms
    And 2 s pass
    And the leader is <fault>
    And 3 s pass
    And the network faults end
    And frozen processes resume
    Then every request has a final outcome or an error
    And at least 60 percent of the requests are done
    And all tasks of "rainfall" succeed
    And all tasks of "gauge-intake" are running

    Examples:
      | fault   |
      | killed  |
      | frozen  |
      | cut off |
