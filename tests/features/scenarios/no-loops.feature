Feature: No forwarding loops
  A request crosses regions at most once, also when stale views show free targets in both regions.

  Scenario: Two regions without targets hold stale views of each other
    Given a dedicated example fleet with 3 bookings in each region
    And the requests between all regions are recorded
    When the north and the central are cut off from each other
    And all engines are killed
    And the entries in the north and the central know that no local engine is healthy
    And the control daemons in the north and the central are frozen
    And the north and the central are reconnected
    And tent-crew asks each entry in the north and the central for 10 completions at once
    Then every call is refused with a numbered code and was not run
    And some requests crossed regions
    And no request crossed regions more than once
    And no request was sent back
