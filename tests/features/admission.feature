Feature: An overloaded gate serves the most important requests

  Background:
    Given a node without a backend server and a node with one of 2 slots and 100 ms service time

  Scenario Outline: Overload sheds internal requests first and without delay
    When callers send <rate> requests a second for 4 seconds in bursts of <burst>
    Then at least <critical> percent of the critical requests get complete answers
    And at least <customer> percent of the customer requests get complete answers
    And at most <internal> percent of the internal requests get complete answers
    And refusals state that the request did not run and when to retry
    And half of the internal refusals take less than 250 ms
    And all requests are served again after 2 seconds

    Examples:
      | rate | burst | critical | customer | internal |
      | 60   | 20    | 100      | 90       | 30       |

  Scenario Outline: A request is cancelled when its caller disconnects
    When a caller disconnects from <entry> while the backend server runs its request
    Then the backend server counts one cancelled request
    And all requests are served again after 1 seconds

    Examples:
      | entry      |
      | suva-cue-1 |
      | nadi-cue-1 |

  Scenario Outline: Goodput recovers after the backend server was slow
    When the backend server takes <slow> ms for 3 seconds of 10 requests a second
    Then all requests are served again after 2 seconds

    Examples:
      | slow |
      | 400  |
      | 5000 |

  Scenario: Critical requests beyond the declared rate are demoted
    When callers send 40 critical requests at once
    Then the log of nadi-cue-1 contains a line about a demoted worth

  Scenario: A node with a delayed event loop refuses internal requests first
    When suva-cue-1 is paused repeatedly until it refuses an internal request
    Then that refusal is nodeOverloaded and states that it did not run and when to retry
    And a critical request sent right after it gets a complete answer
    And the log of suva-cue-1 contains a self-limit line
    And suva-cue-1 accepts internal requests again

  Scenario: A new backend server starts with few concurrent requests
    Given a new backend server of 20 slots and 200 ms service time without requests so far
    When callers send it 20 requests at once
    Then it runs 2 requests while the others are queued
    And all 20 requests get complete answers
    And 20 more requests sent at once all start together
