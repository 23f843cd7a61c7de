Feature: Each caller receives the correct outcome of its own request

  Background:
    Given a cell of 3 controllers and 3 entries

  Scenario: A repeated request gets the first outcome, also after the leader is killed
    Given 2 runners of "reconcile"
    Then the caller gets the complete answer to request "coin-box-1" of "reconcile"
    And the caller gets the complete answer to request "coin-box-1" of "reconcile"
    When the leader is killed
    Then the caller gets the complete answer to request "coin-box-1" of "reconcile"
    And request "coin-box-1" began 1 times
    And request "coin-box-1" with a different payload is refused with "conflict"

  Scenario: Runners are killed while they run requests
    Given 3 runners of "reconcile" that take 200 ms
    And callers send 30 requests a second to "reconcile" for 4 s
    When 1 s pass
    And a runner is killed
    And 1 s pass
    And a runner is killed
    Then every request has a final outcome or an error
    And at least 50 percent of the requests are done

  Scenario: A waiting task of a deleted workload never starts
    Given 1 workers
    When an operator applies the service "gauge-intake" of 8 tasks
    Then all tasks of "gauge-intake" are running
    When an operator applies the batch "rainfall" of 300 tasks that run 100 ms
    And an operator deletes the workload "rainfall"
    And an operator deletes the workload "gauge-intake"
    Then no task of "rainfall" was started
    And all tasks of "gauge-intake" have ended
