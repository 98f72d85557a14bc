Feature: A request is served end to end

  Background:
    Given a control VM, two nodes in two zones and a backend server of cue in nadi
    And the cue document is active

  Scenario Outline: Every node serves callers
    When a caller sends <method> <path> to <node>
    Then the answer has status <status> and <size> bytes

    Examples:
      | node       | method | path                       | status | size    |
      | suva-cue-1 | GET    | /segments/7                | 200    | 200     |
      | nadi-cue-1 | GET    | /segments/7                | 200    | 200     |
      | suva-cue-1 | POST   | /publish/warnings          | 200    | 200     |
      | suva-cue-1 | GET    | /segments/7?bytes=0        | 200    | 0       |
      | suva-cue-1 | GET    | /segments/7?bytes=2000000  | 200    | 2000000 |

  Scenario: Each routing decision is logged
    When a caller sends GET /segments/7 to suva-cue-1
    Then the log of suva-cue-1 has a routing line that chose nadi-cue-1

  Scenario: A node shows the metrics of its gate
    When a caller sends GET /segments/7 to suva-cue-1
    Then the metrics of nadi-cue-1 count an admitted standard request

  Scenario Outline: Invalid input gets one of the defined errors
    When a connection sends the bytes of <input> to suva-cue-1
    Then the answer is the problem <kind> with status <status>
    And the connection is closed or usable
    And a caller still gets complete answers from suva-cue-1

    Examples:
      | input           | kind           | status |
      | unknown service | unknownService | 404    |
      | unknown request | unknownRequest | 404    |
      | large header    | headerTooLarge | 431    |
      | large body      | bodyTooLarge   | 413    |
      | half a request  | badRequest     | 400    |
      | garbage         | badRequest     | 400    |
      | damaged chain   | badRequest     | 400    |

  Scenario Outline: Invalid bytes on the frame port close only that connection
    When a peer sends <bytes> to the frame port of nadi-cue-1
    Then the frame connection is closed
    And a caller still gets complete answers from suva-cue-1

    Examples:
      | bytes                |
      | no preamble          |
      | an oversized frame   |
      | an unknown channel   |
      | a damaged message    |
      | half a frame         |
