Feature: A cut-off zone goes on serving and heals by itself

  Background:
    Given two zones with two servers of cue each and control in nadi

  Scenario: A zone is cut off, a node restarts in it, and the cut heals
    When suva is cut off
    Then within 20 s the nodes of each zone know 2 servers of cue
    And callers of every node get whole answers
    When suva-cue-2 is killed and restarted
    Then within 10 s suva-cue-2 has revision 1 of cue
    And callers of every node get whole answers
    When the document of cue changes in nadi
    Then within 5 s nadi-cue-2 has revision 2 of cue
    And suva-cue-1 has revision 1 of cue
    When the cut heals
    Then within 20 s the nodes of each zone know 4 servers of cue
    And within 10 s suva-cue-2 has revision 2 of cue
    And callers of every node get whole answers

  Scenario: A key is sent on both sides of a cut
    When keys are sent in both zones while suva is cut off
    Then new keys ran in nadi and were refused as noQuorum, not run, in suva
    And callers of every node get whole answers
    When the cut heals
    Then every key has an outcome and ran at most once
