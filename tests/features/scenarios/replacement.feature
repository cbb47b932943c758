Feature: Rolling replacement
  Every daemon is replaced in turn, and callers who follow the entry list lose nothing.

  Scenario: All control and entry daemons are replaced under load
    Given the operations fleet
    And 10 callers who follow the entry list, half of them with long streams
    When each control daemon receives SIGTERM and is replaced in turn
    And each entry of the north receives SIGTERM and is replaced in turn
    And each entry of the central receives SIGTERM and is replaced in turn
    And each entry of the west receives SIGTERM and is replaced in turn
    Then every replaced process exited with code 0
    And every call of these callers got its complete response

  Scenario: All daemons are replaced while callers book with keys
    Given the operations fleet
    And every booking takes 300 ms
    And 9 callers who book with keys of the listed entries and send each booking to a second entry, too
    When each control daemon receives SIGTERM and is replaced in turn
    And each entry of the north receives SIGTERM and is replaced in turn
    And each entry of the central receives SIGTERM and is replaced in turn
    And each entry of the west receives SIGTERM and is replaced in turn
    Then every replaced process exited with code 0
    And no booking ran twice, every "not_run" is true and the owner of a key answered each booking
    And every booking takes 5 ms
