Feature: An accepted configuration change takes effect in every process within seconds and is never reverted

  Background:
    Given a cell of 3 controllers and 3 entries

  Scenario: A change takes effect in every process
    When an operator puts the document "limits" with version 0 and value 1
    Then every process has the configuration in force

  Scenario: Two operators change the same version concurrently
    When two operators put the document "limits" with version 0 concurrently
    Then one change is accepted and the other is refused with a conflict
    And the audit trail has both changes

  Scenario: A change that is sent again after the leader is killed is applied once
    When an operator puts the document "limits" with version 0 and value 1
    And the leader is killed
    And the operator sends the same change again
    Then both answers have version 1
    And the document "limits" has version 1

  Scenario: An entry without a connection to the controllers stops admitting calls
    When the entry "entry-3" is cut off from the controllers
    And an operator puts the document "limits" with version 0 and value 1
    Then every process has the configuration in force
    And the entry "entry-3" is not ready and refuses calls
    When the network faults end
    Then the entry "entry-3" is ready and has the newest version
