Feature: Graceful shutdown
  An entry that shuts down finishes its open calls and loses none.

  Scenario: Shutdown under load
    Given a dedicated example fleet
    And 8 long streams and 4 callers in a loop at an entry in the north
    When the entry in the north receives SIGTERM
    Then it exits with code 0
    And every long stream is complete
    And every call in a loop got a complete response
    And no target cancelled a request

  Scenario: Shutdown under load of callers who ignore its notice
    Given a dedicated example fleet
    And 8 long streams and 4 callers in a loop, who ignore connection: close, at an entry in the north
    When the entry in the north receives SIGTERM
    Then it exits with code 0
    And every long stream is complete
    And every call in a loop got a complete response
    And no target cancelled a request
