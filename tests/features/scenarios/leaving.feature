Feature: Leaving targets
  A target that the list of VMs shows as leaving gets no new work and finishes what it has.

  Scenario: An engine and a booking target leave under load
    Given the operations fleet
    And every booking takes 1500 ms
    And 12 streams of 8 s and callers who complete and book in a loop at each entry in the north
    When the list of VMs marks an engine and a booking target of the north as leaving
    And the other targets of the north have started 60 more requests 3 s after that
    Then a leaving target has started nothing since 3 s after the list showed it
    And requests that were queued when the list showed it ran elsewhere
    And the long streams on the leaving engine ended there, complete
    And the targets are back in the list
    And every booking takes 5 ms
