Feature: Partition
  A failure domain that is cut off serves its callers and loads the newest configuration after
  it is reconnected.

  Scenario: A failure domain that is cut off serves, restarts and converges
    Given a dedicated example fleet
    And the revision at every entry is recorded
    When the north is cut off from the other regions and the platform
    And the control daemons in the north have no summary of another region
    Then each entry in the north serves tent-crew from local targets
    When a control daemon and an entry in the north are restarted
    Then each entry in the north serves tent-crew from local targets
    When a configuration without blade-mill is published
    Then each entry outside the north refuses blade-mill
    And each entry in the north serves blade-mill from local targets
    When the north is reconnected to the other regions, but not to the platform
    Then each entry in the north refuses blade-mill
    And each entry outside the north refuses blade-mill
    And each entry in the north serves tent-crew from local targets
    When the north is reconnected to the platform
    Then each entry in the north refuses blade-mill
    And no entry went back to an older revision
