Feature: A planned stop causes no failed request

  Background:
    Given a cell of 3 controllers and 3 entries
    And 3 runners of "reconcile" that take 50 ms

  Scenario: The leader is stopped as planned under load
    Given callers send 60 requests a second to "reconcile" for 5 s
    When 2 s pass
    And the leader is stopped as planned
    Then every request has a final outcome or an error
    And every request is done

  Scenario: An entry is stopped as planned under load
    Given callers that use only ready entries send 60 requests a second to "reconcile" for 5 s
    When 2 s pass
    And "entry-2" is stopped as planned
    Then every request has a final outcome or an error
    And every request is done

  Scenario: A runner leaves under load
    Given callers send 60 requests a second to "reconcile" for 5 s
    When 2 s pass
    And a runner leaves
    Then every request has a final outcome or an error
    And every request is done
    And after it left, the runner began at most the requests in flight at that time, and the others began more requests than one runner has slots
