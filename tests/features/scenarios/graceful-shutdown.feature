Feature: Graceful shutdown
  An entry that is told to shut down finishes what it has and loses no call.

  Scenario: Shutdown under load
    Given an example fleet of its own
    And 8 long streams and 4 callers in a loop at an entry in the north
    When the entry in the north is told to shut down
    Then it exits with code 0
    And every long stream is complete
    And every call in a loop got a complete answer
    And no target cancelled a request

  Scenario: Shutdown under load of callers who ignore its notice
    Given an example fleet of its own
    And 8 long streams and 4 callers in a loop, who ignore its notice, at an entry in the north
    When the entry in the north is told to shut down
    Then it exits with code 0
    And every long stream is complete
    And every call in a loop got a complete answer
    And no target cancelled a request
