Feature: A request that crashes its target
  A request that kills the engines that run it ends at most two of them, and
  other customers still get their responses.

  Scenario: One customer's request kills engines while others are served
    Given a dedicated example fleet with 4 engines in the north
    When 24 calls of other customers run in the north
    And blade-mill sends a request that crashes its target to an entry in the north
    Then the call is refused with status 422 and code 4201
    And 2 engines have died
    And the calls of the other customers are answered, or fail with an error and are answered when sent again

  Scenario: The request is refused everywhere and under any key
    Given a dedicated example fleet with 4 engines in the north
    When blade-mill sends a request that crashes its target to an entry in the north
    And the refusal has reached all entries
    And blade-mill sends it again under new keys to all entries
    Then every call is refused with status 422 and code 4201
    And 2 engines have died

  Scenario: The request is sent to other entries as soon as it was refused
    Given a dedicated example fleet with 4 engines in the north
    When blade-mill sends a request that crashes its target to an entry in the north
    And blade-mill sends it again under new keys to all entries
    Then 2 engines have died
