Feature: Bad input
  Input that an entry refuses has its numbered code and reaches no target.

  Scenario: Each bad input has its code
    Given the example fleet
    When tent-crew sends these inputs to an entry in the north:
      | input                              |
      | text that is not JSON              |
      | no messages                        |
      | JSON nested 100 deep               |
      | a body over 4 MB                   |
      | headers over 16 KB                 |
      | a deadline of -5                   |
      | an unknown path                    |
      | an unknown method                  |
      | no API key                         |
      | an unknown API key                 |
      | an unknown service                 |
      | a booking without a key            |
      | a booking with a malformed key     |
      | a booking with an expired key      |
      | a booking with a key for two hours |
    Then each response has the status and code of its row:
      | input                              | status | code | run     |
      | text that is not JSON              | 400    | 1101 | not_run |
      | no messages                        | 400    | 1102 | not_run |
      | JSON nested 100 deep               | 400    | 1104 | not_run |
      | a body over 4 MB                   | 413    | 1103 | not_run |
      | headers over 16 KB                 | 431    | 1105 | not_run |
      | a deadline of -5                   | 400    | 1107 | not_run |
      | an unknown path                    | 404    | 1108 | not_run |
      | an unknown method                  | 405    | 1109 | not_run |
      | no API key                         | 401    | 2101 | not_run |
      | an unknown API key                 | 401    | 2102 | not_run |
      | an unknown service                 | 404    | 2103 | not_run |
      | a booking without a key            | 428    | 5101 | not_run |
      | a booking with a malformed key     | 400    | 5102 | not_run |
      | a booking with an expired key      | 409    | 5103 | unknown |
      | a booking with a key for two hours | 400    | 5107 | not_run |
    And no target started the request

  Scenario: Headers that are too large have their code on a used connection
    Given the example fleet
    When tent-crew sends "headers over 16 KB on a used connection" 3 times to an entry in the north
    Then every call is refused with status 431 and code 1105

  Scenario: A caller that sends the complete body over the limit still receives the code
    Given the example fleet
    When tent-crew sends "a body over 4 MB that is sent completely" 10 times to an entry in the north
    Then every call is refused with status 413 and code 1103
    And no target started the request
