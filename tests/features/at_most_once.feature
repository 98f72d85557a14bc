Feature: A non-idempotent request runs at most once

  Scenario Outline: one key is sent again and again around a fault
    Given control, three nodes and two backend servers of cue
    When one key is sent again around <fault>
    Then the backend servers ran the key at most once
    And the answers came as <outcome>

    Examples:
      | fault                            | outcome                    |
      | a burst at every node            | 200                        |
      | lost answers                     | a known or unknown outcome |
      | a killed gate                    | outcomeUnknown             |
      | a killed gate that came back     | outcomeUnknown             |
      | a killed entry                   | a known or unknown outcome |
      | a restart of control             | 200                        |
      | control lost during the run      | 200                        |
      | control frozen past the deadline | 200                        |
      | a gate frozen before the call    | a known or unknown outcome |
      | a gate frozen during the run     | a known or unknown outcome |
      | a killed backend server          | outcomeUnknown             |
      | a backend server that refuses    | 200                        |

  Scenario: without control only keyed requests are refused
    Given control, three nodes and two backend servers of cue
    When control is frozen
    Then a keyed request is refused as noQuorum, not run
    And an idempotent request is served
    And after control thaws the same key runs once

  Scenario Outline: a key that cannot be used is refused
    Given control, three nodes and two backend servers of cue
    When a key is <misused>
    Then the refusal is <kind>, not run

    Examples:
      | misused                     | kind        |
      | used for another body       | keyMismatch |
      | given with a bad character  | badRequest  |
      | longer than allowed         | badRequest  |

  Scenario: a backend server's call without a key is repeated by a retried parent
    Given control, three nodes and two backend servers of cue
    When the same call is made again for the same root request
    Then it ran once and both got its answer
