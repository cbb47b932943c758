Feature: Re-send with the same key
  A booking with a key runs at most once, however often and wherever its caller sends it.

  Scenario: A repeated booking gets the first response
    Given the example fleet
    When tent-crew books a slot with a new key at an entry in the north
    And tent-crew sends the booking again
    Then both responses name the same booking
    And targets started the request once

  Scenario: An entry that does not own the key asks the owner
    Given the example fleet
    When tent-crew books a slot with a new key at an entry in the north
    And tent-crew sends the booking again to an entry in the central
    Then both responses name the same booking
    And targets started the request once

  Scenario: A re-send during the run waits for the same run
    Given a dedicated example fleet
    And every booking takes 2000 ms
    When tent-crew starts to book a slot with a new key at an entry in the north
    And a target has started the booking
    And tent-crew sends the booking again
    Then both responses name the same booking
    And targets started the request once

  Scenario: The key is bound to the request
    Given the example fleet
    When tent-crew books a slot with a new key at an entry in the north
    And tent-crew sends another booking with the same key
    Then the call is refused with status 422 and code 5104
    And targets started the request once

  Scenario: No entry runs the booking again after its owner ended
    Given a dedicated example fleet
    When tent-crew books a slot with a new key at an entry in the north
    And the owner of the key is killed
    And tent-crew sends the booking again to an entry in the north
    Then the call is refused with status 502 and code 5201
    And the response reports "unknown"
    And targets started the request once
