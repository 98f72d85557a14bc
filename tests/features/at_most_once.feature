Feature: A non-idempotent request runs at most once

  Scenario Outline: A request with one idempotency key is resent around a fault
    Given a control VM, three nodes and two backend servers of cue
    When a request with one idempotency key is resent around <fault>
    Then the backend servers ran the request at most once
    And the last answers are <outcome>

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

  Scenario: Without the control VM only requests with an idempotency key are refused
    Given a control VM, three nodes and two backend servers of cue
    When the control VM is frozen
    Then a request with an idempotency key is refused as noQuorum and not run
    And an idempotent request is served
    And after the control VM resumes the same request runs once

  Scenario Outline: A request with an unusable idempotency key is refused
    Given a control VM, three nodes and two backend servers of cue
    When an idempotency key is <misused>
    Then the request is refused as <kind> and not run

    Examples:
      | misused                     | kind        |
      | used for another body       | keyMismatch |
      | given with a bad character  | badRequest  |
      | longer than allowed         | badRequest  |

  Scenario: A retried request repeats a backend server's call that has no key
    Given a control VM, three nodes and two backend servers of cue
    When the same call is made again for the same root request
    Then it ran once and every attempt got its answer
