Feature: Configuration changes
  An accepted change is in force everywhere within seconds and never reverts.

  Scenario: Two operators change the configuration while parts of the fleet fail
    Given the operations fleet
    And the revisions at every daemon and at a caller of each entry are observed
    When two operators publish 6 changes
    And control daemon 1 of the north is killed
    And two operators publish 2 changes
    And control daemon 1 of the north is started again
    And control daemon 2 of the west is frozen until its entries report it lost
    And two operators publish 4 changes
    And the changes are in force on every reachable daemon
    And control daemon 2 of the west is thawed
    And the changes are in force on every reachable daemon
    And an operator publishes a link share of 200% in line 3 of the configuration
    Then every control daemon reports a validation error in line 3, column 23, and no daemon changes its revision
    When two operators publish 2 changes
    And the changes are in force on every reachable daemon
    And the configuration service answers with values 3 revisions old
    And control daemon 1 of the central is killed
    And control daemon 1 of the central is started again
    And entry 1 of the central is killed
    And entry 1 of the central is started again
    And two operators publish 2 changes
    And the configuration service is down
    And control daemon 1 of the west is killed
    And control daemon 1 of the west is started again
    And two operators publish 2 changes
    And the configuration service is up
    And two operators publish 2 changes
    Then the changes are in force on every reachable daemon
    And each change was in force on every reachable daemon within 6 s
    And no revision decreased in a process or after a restart
    And only accepted revisions were observed
    And the customer that the last change added can book at every entry
    And the configuration service received no more calls than two watchers in each failure domain make
