Feature: A gate keeps serving what matters most under overload

  Background:
    Given a node without and a node with a backend server of 2 slots and 100 ms

  Scenario Outline: A surge sheds internal lookups first and at once
    When callers send <rate> requests a second for 4 seconds in bursts of <burst>
    Then at least <critical> percent of the critical requests are whole
    And at least <customer> percent of the customer requests are whole
    And at most <internal> percent of the internal requests are whole
    And refusals say not run and when to come back
    And half of the internal refusals take less than 250 ms
    And goodput is whole again after 2 seconds

    Examples:
      | rate | burst | critical | customer | internal |
      | 60   | 20    | 100      | 90       | 30       |

  Scenario Outline: A caller that hangs up cancels its request
    When a caller hangs up on <entry> once the backend server works on its request
    Then the backend server counts one cancelled request
    And goodput is whole again after 1 seconds

    Examples:
      | entry      |
      | suva-cue-1 |
      | nadi-cue-1 |

  Scenario Outline: Goodput is back after a slow spell
    When the backend server takes <slow> ms for 3 seconds of 10 requests a second
    Then goodput is whole again after 2 seconds

    Examples:
      | slow |
      | 400  |
      | 5000 |

  Scenario: Critical requests beyond the declared rate are demoted
    When callers send 40 critical requests at once
    Then the log of nadi-cue-1 has a line of a demoted worth

  Scenario: A node whose event loop lags refuses internal lookups first
    When the loop of suva-cue-1 is held up until it refuses an internal request
    Then that refusal is nodeOverloaded and says not run and when to come back
    And a critical request sent right after it is whole
    And the log of suva-cue-1 has a line of its self-limit
    And suva-cue-1 takes internal requests again

  Scenario: A backend server that has just announced itself starts with few requests
    Given a new backend server of 20 slots and 200 ms that is not yet used
    When callers send it 20 requests at once
    Then it works on 2 requests while the others wait
    And all 20 requests are whole
    And 20 more sent at once all start together
