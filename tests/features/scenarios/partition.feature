Feature: Partition
  A failure domain that is cut off serves its callers and later takes the newest configuration.

  Scenario: A failure domain that is cut off serves, restarts and converges
    Given an example fleet of its own
    And the revision at every entry is watched
    When the north is cut off from all other places
    And the controls in the north know no other region any more
    Then each entry in the north serves tent-crew from its own targets
    When a control and an entry in the north are restarted
    Then each entry in the north serves tent-crew from its own targets
    When a configuration without blade-mill is published
    Then each entry outside the north refuses blade-mill
    And each entry in the north serves blade-mill from its own targets
    When the north is joined with the other regions, but not with the platform
    Then each entry in the north refuses blade-mill
    And each entry outside the north refuses blade-mill
    And each entry in the north serves tent-crew from its own targets
    When the north is joined with the platform
    Then each entry in the north refuses blade-mill
    And the revision at no entry went back
