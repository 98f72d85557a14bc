Feature: A planned stop cuts off no request in flight

  Background:
    Given four nodes in two zones with servers of cue and of reels that call cue

  Scenario Outline: Processes stop under load
    Given callers that send without a pause
    When <stopped> is stopped by <means>
    Then it ends with status 0 within 10 s
    And no request was cut off

    Examples:
      | stopped              | means   |
      | suva-cue-1           | SIGTERM |
      | nadi-reels-1         | SIGTERM |
      | suva-cue-1           | drain   |
      | suva-cue-1 & control | SIGTERM |

  Scenario: Nodes restart twenty times in a row
    Given callers that send without a pause
    When nodes restart 20 times in a row, two at once
    Then no request was cut off

  Scenario: A leaving server gets no new work where the news did not arrive
    Given suva-cue-1 is the only server of cue
    When suva-cue-1 drains while a request runs there
    Then a new request gets the problem leaving or noServer, not run
    And the request that ran before gets its whole answer
