Feature: Data residency
  The data of tartu-archive stays in the north.

  Scenario: An entry in another region refuses before it reads the body
    Given the example fleet
    When tartu-archive sends the headers of a completion to an entry in the west, but not its body
    Then the call is refused with status 421 and code 2201
    And the response reports "not_run"
    And the response lists entries in the north only
    And no target started the request

  Scenario: A refused body does not leave the region
    Given the example fleet
    And all bytes that leave the west are recorded
    When tartu-archive asks an entry in the west for a streamed completion
    Then the call is refused with status 421 and code 2201
    And the recorded bytes do not contain the request
    And no target started the request

  Scenario: A request that may leave the region is in the recorded bytes
    Given the example fleet
    And all bytes that leave the west are recorded
    When tent-crew asks an entry in the west for a streamed completion
    Then the response is complete
    And the recorded bytes contain the request

  Scenario: The call of a bound customer runs in its home region
    Given the example fleet
    When tartu-archive asks an entry in the north for a streamed completion
    Then the response is complete
    And the response is from the north
    And only targets in the north started the request

  Scenario: The entry list names allowed regions only
    Given the example fleet
    Then the entry list of tartu-archive in the west has entries in the north only

  Scenario: A region without targets does not forward a bound request
    Given a dedicated example fleet
    And all bytes that leave the north are recorded
    When tartu-archive asks entry 1 in the north for a completion that crashes its target
    Then the call is refused with status 422 and code 4201
    And the central knows that the north has no engine
    When entry 1 in the north is killed
    And tartu-archive sends the completion again to entry 2 in the north
    Then the call is refused and was not run again
    When tartu-archive sends an ordinary completion to entry 2 in the north
    Then the call is refused and was not run again
    When tartu-archive sends the completion again to entry 1 in the central
    Then the call is refused with status 421 and code 2201
    When tartu-archive sends the completion again to entry 1 in the west
    Then the call is refused with status 421 and code 2201
    And only targets in the north started the request
    And the recorded bytes do not contain the request
    And neither its digest nor the API key of tartu-archive is in the recorded bytes

  Scenario: The digest of a crash that other regions may know is in the recorded bytes
    Given a dedicated example fleet
    And all bytes that leave the north are recorded
    When tent-crew asks entry 1 in the north for a completion that crashes its target
    Then its digest appears in the recorded bytes
