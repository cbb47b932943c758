Feature: Link cut in one direction
  One side of a link still receives from the other. No request loops or runs twice, and no response
  ends early without an error.

  Scenario Outline: The link <direction> the west is cut and restored while calls use it
    Given a dedicated example fleet
    And the requests between all regions are recorded
    And every booking takes 1000 ms
    And the booking targets of the west are leaving
    When 54 streams of three customers run at all entries and every ninth caller cancels
    And tent-crew starts 4 bookings at an entry in the west with a deadline of 3000 ms
    And targets run all of them
    And the links <direction> the west are cut
    And the bookings are sent again to "all entries" during the cut with a deadline of 3000 ms
    And tent-crew asks each entry for 5 completions during the cut with a deadline of 3000 ms
    And the links <direction> the west are restored
    And the bookings are sent again to "all entries" with a deadline of 5000 ms
    Then each entry serves completions again
    And no booking ran twice and every "not_run" is true
    And every booking ran
    And each response is complete and belongs to its request, or ends with an error
    And no completion crossed regions twice or ran twice

    Examples:
      | direction |
      | from      |
      | to        |
