Feature: Callers' guide
  The examples of docs/callers.md match the responses of a running fleet.

  Scenario: Each example has the response that the guide shows
    Given the example fleet
    When a caller runs the examples of the guide one after the other
    Then each response has the status, headers and code that the guide shows
