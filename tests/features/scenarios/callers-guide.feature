Feature: Callers' guide
  The examples of docs/callers.md hold for a running fleet.

  Scenario: Each example has the answer that the guide shows
    Given the example fleet
    When a caller runs the examples of the guide one after the other
    Then each answer has the status, headers and code that the guide shows
