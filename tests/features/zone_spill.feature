Feature: Work beyond the slots of a zone spills to another

  Scenario: One zone gets more than it can run
    Given a server of cue with 2 slots in suva and one in nadi
    When 1 caller sends 10 requests in turn to suva
    Then all are whole and none ran in nadi
    When 8 callers send 5 requests in turn to suva
    Then all are whole and some ran in nadi
