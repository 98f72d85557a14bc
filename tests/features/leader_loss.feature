Feature: A request with an idempotency key runs at most once when the leader fails

  Scenario Outline: Keyed requests are sent to all nodes while the leader is down
    Given three control VMs, three nodes and two backend servers of cue
    When keyed requests are sent to all nodes and resent while the leader is <fault>
    Then no keyed request ran twice and each has a final outcome
    And no request that had 1 s to wait for the next leader was refused

    Examples:
      | fault                        |
      | killed                       |
      | frozen past the deadline     |
