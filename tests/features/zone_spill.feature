Feature: Requests beyond the slots of a zone spill to another zone

  Scenario: One zone gets more requests than it has slots
    Given a server of cue with 2 slots in suva and one in nadi
    When 1 caller sends 10 requests in turn to suva
    Then all get complete answers and none ran in nadi
    When 8 callers send 5 requests in turn to suva
    Then all get complete answers and some ran in nadi
