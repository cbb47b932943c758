Feature: Whole and own answers
  Every caller gets the whole answer to its own request or a visible error, never a part of
  another's, while connections break and answers are late.

  Scenario: Connections break under many streams
    Given the fleet for failures
    When 72 streams of three customers run at all entries and every ninth caller cancels
    And connections to targets and between entries are reset 8 times under changing delays
    Then each answer is whole and its own or ends with a visible error
