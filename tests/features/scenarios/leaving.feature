Feature: Leaving targets
  A target that the list of VMs shows as leaving gets no new requests and finishes its open ones.

  Scenario: An engine and a booking target leave under load
    Given the operations fleet
    And every booking takes 1500 ms
    And 12 streams of 8 s and callers who request completions and bookings in a loop at each entry in the north
    When the list of VMs marks an engine and a booking target of the north as leaving
    And the other targets of the north have started 60 requests more than 3 s after the list showed it
    Then no leaving target has started a request more than 3 s after the list showed it
    And requests that were queued when the list showed it ran on other targets
    And the long streams on the leaving engine completed there
    And the list of VMs marks the targets as live again
    And every booking takes 5 ms

  Scenario Outline: Targets leave while the control daemon of an entry is <state>
    Given the operations fleet
    And every booking takes 1500 ms
    And 12 streams of 8 s and callers who request completions and bookings in a loop at each entry in the north
    When the control daemon of an entry in the north is <state>
    And the list of VMs marks an engine and a booking target of the north as leaving
    And the other targets of the north have started 60 requests more than 3 s after the list showed it
    Then targets have started requests of that entry since then
    And no leaving target has started a request more than 3 s after the list showed it
    When the control daemon answers again and the entry has used it for 2 s
    Then no leaving target has started a request more than 3 s after the list showed it
    And the list of VMs marks the targets as live again
    And every booking takes 5 ms

    Examples:
      | state  |
      | frozen |
      | killed |
