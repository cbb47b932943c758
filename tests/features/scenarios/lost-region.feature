Feature: A region loses its targets
  The other regions take over as many calls as the links allow, and the first-token latency of
  their local callers does not suffer.

  Scenario: A region loses all engines while links between regions are thin
    Given a fleet with links of 2 Mbit/s, 20% of it for forwarded requests
    And 160 callers in the north and 16 each in the central and the west, in a loop
    And 4 callers of a customer bound to the north, in a loop
    When callers in the central and the west have 100 responses each
    And all engines of the north are killed
    And callers in the central and the west have 200 more responses each
    Then callers in the central and the west lost no call
    And their first-token p99 grew by at most 10%, or is below 1300 ms before and after
    And no call of the bound customer left the north
    And some calls of the north ran in other regions
    And links and targets saw on average at most 1.1 attempts per call
