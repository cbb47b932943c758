Feature: End-to-end calls
  Calls go through a real entry to a real target, and the caller gets the complete response.

  Scenario: A streamed completion arrives complete
    Given the example fleet
    When tent-crew asks an entry in the north for a streamed completion
    Then the response is complete
    And its text is the expected output of the engine for this prompt
    And the response headers name revision, entry, target and attempts
    And targets started the request once

  Scenario: A region without engines uses another region
    Given the example fleet
    When tent-crew asks an entry in the west for a streamed completion
    Then the response is complete
    And its text is the expected output of the engine for this prompt
    And only targets outside the west started the request
    And targets started the request once

  Scenario: A booking runs at one target
    Given the example fleet
    When tent-crew books a slot with a new key at an entry in the central
    Then the response is complete
    And the booking is the one that the target ran
    And targets started the request once
