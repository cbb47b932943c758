Feature: Complete responses
  Every caller gets the complete response to its request or an error, never a part of another
  response, while connections break and responses are late.

  Scenario: Connections break under many streams
    Given the fault-injection fleet
    When 72 streams of three customers run at all entries and every ninth caller cancels
    And connections to targets and between entries are reset 8 times under changing delays
    Then each response is complete and belongs to its request, or ends with an error
