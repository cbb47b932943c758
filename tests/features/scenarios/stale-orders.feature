Feature: Stale orders
  Engines end in the newest state, whoever resumes late and whether or not they check fencing.

  Scenario: Controls that were frozen while a newer text was put in force
    Given an example fleet of its own
    When version "2" of the model is published
    And control 1 in the north is frozen as soon as it holds the text
    And version "3" of the model is published
    Then every engine in the north gets only version "3" ready
    When control 1 in the north is thawed and holds the text
    Then every engine in the north has only version "3" ready for 5 more rounds of planning
    When version "4" of the model is published
    And control 2 in the north is frozen as soon as it holds the text
    And version "5" of the model is published
    Then every engine in the north gets only version "5" ready
    When control 2 in the north is thawed and holds the text
    Then every engine in the north has only version "5" ready for 5 more rounds of planning

  Scenario: A control that was frozen can't learn of the newer text
    Given an example fleet of its own
    When version "2" of the model is published
    And control 1 in the north is frozen as soon as it holds the text
    And version "3" of the model is published
    Then every engine in the north gets only version "3" ready
    When the north is cut off from all other places
    And control 2 in the north is frozen
    And control 1 in the north is thawed
    Then every engine in the north that checks fencing has only version "3" ready for 8 more rounds of planning
    When control 2 in the north is thawed
    And the north is joined with the other regions, but not with the platform
    And the north is joined with the platform
    Then control 1 in the north holds the text
    And every engine in the north gets only version "3" ready
    And every engine in the north has only version "3" ready for 5 more rounds of planning
