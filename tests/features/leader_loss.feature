Feature: A key runs at most once while the leader of control is lost

  Scenario Outline: keys are sent everywhere while the leader is lost
    Given three control VMs, three nodes and two backend servers of cue
    When keys are sent to all nodes and resent while the leader is <fault>
    Then no key ran twice and every key has an outcome
    And no request that had 1 s to wait for the next leader was refused

    Examples:
      | fault                        |
      | killed                       |
      | frozen past the deadline     |
