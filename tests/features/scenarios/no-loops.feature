Feature: No loops
  A request crosses regions at most once, also when regions believe each other to be free.

  Scenario: Two regions without targets hold stale views of each other
    Given an example fleet of its own with 3 bookings in each region
    And the requests between all regions are recorded
    When the north and the central are cut off from each other
    And all engines are killed
    And the entries in the north and the central know that their own engines are gone
    And the controls in the north and the central are frozen
    And the north and the central are joined again
    And tent-crew asks each entry in the north and the central for 10 completions at once
    Then every call is refused with a numbered code and was not run
    And some requests crossed regions
    And no request crossed regions more than once
    And no request was sent back
