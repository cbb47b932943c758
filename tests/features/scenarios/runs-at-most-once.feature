Feature: Runs at most once
  A booking runs at most once, whatever fails and wherever its caller sends it again. The evidence
  is the run logs of the booking targets, compared with every response after all processes run
  again and have no open call.

  Background:
    Given the fault-injection fleet
    And every booking takes 800 ms

  Scenario: The entry dies after dispatch
    When tartu-archive starts 6 bookings at an entry in the north
    And targets run some of them and the entry queues the others
    And the entry dies
    And the bookings are sent again to "all other entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every answered re-send reports "unknown"

  Scenario: The entry freezes with queued bookings and resumes within their deadline
    When tartu-archive starts 6 bookings at an entry in the north
    And targets run some of them and the entry queues the others
    And the entry freezes
    And the targets have ended the runs that they had started
    And the bookings are sent again to "all other entries" with a deadline of 500 ms
    And the entry is thawed
    And all responses have arrived
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every booking ran
    And every first send reports "ran"

  Scenario: The entry freezes with queued bookings and resumes after their deadline
    When tartu-archive starts 6 bookings at an entry in the north with a deadline of 5000 ms
    And targets run some of them and the entry queues the others
    And the entry freezes
    And the bookings are sent again to "all other entries" with a deadline of 2500 ms
    And the deadline of the first sends has passed
    And the entry is thawed
    And all responses have arrived
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And no queued booking ran

  Scenario: The same key arrives at all entries at the same time
    When tent-crew sends 8 bookings to all entries at the same time
    Then no booking ran twice and every "not_run" is true
    And every booking ran
    And every response reports "ran"

  Scenario: The link to the owner is cut after the booking was forwarded, and is restored
    When tent-crew starts 3 bookings with keys of the north at an entry in the west with a deadline of 4000 ms
    And targets run all of them
    And the west is cut off from the other regions
    And the bookings are sent again to "all entries" during the cut with a deadline of 4000 ms
    And the targets have ended the runs that they had started
    And the links of the west are restored
    And all responses have arrived
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every booking ran

  Scenario: The link is cut after the owner forwarded its bookings to another region
    Given the booking targets of the west are leaving
    When tent-crew starts 3 bookings at an entry in the west with a deadline of 3000 ms
    And targets run all of them
    And the west is cut off from the other regions
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    And the links of the west are restored
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every booking ran

  Scenario: The cut delays forwarding beyond the deadline
    Given the booking targets of the west are leaving
    When tent-crew starts 1 bookings at an entry in the west
    And targets run all of them
    And the west is cut off from the other regions
    And tent-crew starts 4 bookings at the same entry with a deadline of 1500 ms
    And all responses to these bookings have arrived
    And the links of the west are restored
    And the bookings are sent again to "all entries" with a deadline of 5000 ms
    Then no booking ran twice and every "not_run" is true

  Scenario: The target closes a used connection as the request is written
    Given the entries in the north hold used connections to the booking targets
    And booking targets have "close_reused" set to "true"
    When tent-crew starts 6 bookings at an entry in the north
    And all responses have arrived
    Then no booking ran twice and every "not_run" is true
    And every booking ran
    And every response reports "ran"

  Scenario: The target runs the booking and closes the connection without a response
    Given booking targets have "lose_answers" set to "true"
    When tent-crew starts 6 bookings at an entry in the north
    And all responses have arrived
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every booking ran
    And every response reports "unknown"

  Scenario: The entry restarts and the bookings are sent to it again
    When tartu-archive starts 6 bookings at an entry in the north
    And targets run some of them and the entry queues the others
    And the entry restarts and its callers re-send without a pause until it answers
    And the bookings are sent again to "all entries" with a deadline of 3000 ms
    Then no booking ran twice and every "not_run" is true
    And every answered re-send reports "unknown"
