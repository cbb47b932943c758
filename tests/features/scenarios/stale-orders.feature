Feature: Stale orders
  Engines end in the newest desired state, also when a control daemon with an older configuration
  resumes late, whether or not they check fencing numbers.

  Scenario: Control daemons that were frozen while a newer configuration came into force
    Given a dedicated example fleet
    When version "2" of the model is published
    And control daemon 1 in the north is frozen as soon as it has loaded the configuration
    And version "3" of the model is published
    Then every engine in the north eventually has only version "3" ready
    When control daemon 1 in the north is thawed and has loaded the configuration
    Then every engine in the north has only version "3" ready for 5 more planning rounds
    When version "4" of the model is published
    And control daemon 2 in the north is frozen as soon as it has loaded the configuration
    And version "5" of the model is published
    Then every engine in the north eventually has only version "5" ready
    When control daemon 2 in the north is thawed and has loaded the configuration
    Then every engine in the north has only version "5" ready for 5 more planning rounds

  Scenario: A control daemon that was frozen cannot load the newer configuration
    Given a dedicated example fleet
    When version "2" of the model is published
    And control daemon 1 in the north is frozen as soon as it has loaded the configuration
    And version "3" of the model is published
    Then every engine in the north eventually has only version "3" ready
    When the north is cut off from the other regions and the platform
    And control daemon 2 in the north is frozen
    And control daemon 1 in the north is thawed
    Then every engine in the north that checks fencing has only version "3" ready for 8 more planning rounds
    When control daemon 2 in the north is thawed
    And the north is reconnected to the other regions, but not to the platform
    And the north is reconnected to the platform
    Then control daemon 1 in the north has loaded the configuration
    And every engine in the north eventually has only version "3" ready
    And every engine in the north has only version "3" ready for 5 more planning rounds
