Feature: A graceful shutdown interrupts no request in flight

  Background:
    Given four nodes in two zones with servers of cue and of reels, which calls cue

  Scenario Outline: Processes stop under load
    Given callers that send requests continuously
    When <stopped> is stopped by <means>
    Then it ends with status 0 within 10 s
    And no request was interrupted

    Examples:
      | stopped              | means   |
      | suva-cue-1           | SIGTERM |
      | nadi-reels-1         | SIGTERM |
      | suva-cue-1           | drain   |
      | suva-cue-1 & control | SIGTERM |

  Scenario: Nodes restart twenty times in a row
    Given callers that send requests continuously
    When nodes restart 20 times in a row, two at once
    Then no request was interrupted

  Scenario: A draining server runs no new requests from nodes that do not know of it yet
    Given suva-cue-1 is the only server of cue
    When suva-cue-1 drains while a request runs there
    Then a new request is refused as leaving or noServer and not run
    And the request that was already running gets its complete answer
