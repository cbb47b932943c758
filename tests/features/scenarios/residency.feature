Feature: Residency
  The data of tartu-archive stays in the north.

  Scenario: An entry in another region refuses before it reads the body
    Given the example fleet
    When tartu-archive sends the headers of a completion to an entry in the west, but not its body
    Then the call is refused with status 421 and code 2201
    And the answer says "not_run"
    And the answer lists entries in the north only
    And no target started the request

  Scenario: A refused body does not leave the region
    Given the example fleet
    And all bytes that leave the west are recorded
    When tartu-archive asks an entry in the west for a streamed completion
    Then the call is refused with status 421 and code 2201
    And the request is in no recorded byte
    And no target started the request

  Scenario: A request that may leave the region is in the recorded bytes
    Given the example fleet
    And all bytes that leave the west are recorded
    When tent-crew asks an entry in the west for a streamed completion
    Then the answer is complete
    And the request is in the recorded bytes

  Scenario: The call runs at home
    Given the example fleet
    When tartu-archive asks an entry in the north for a streamed completion
    Then the answer is complete
    And the answer is from the north
    And only targets in the north started the request

  Scenario: The entry list names allowed regions only
    Given the example fleet
    Then the entry list of tartu-archive in the west has entries in the north only
