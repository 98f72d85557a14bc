Feature: A partitioned zone keeps serving and recovers by itself

  Background:
    Given two zones with two servers of cue each and the control VM in nadi

  Scenario: A zone is partitioned, a node restarts in it, and the partition heals
    When suva is partitioned from nadi
    Then within 20 s the nodes of each zone know 2 servers of cue
    And callers of every node get complete answers
    When suva-cue-2 is killed and restarted
    Then within 10 s suva-cue-2 has revision 1 of cue
    And callers of every node get complete answers
    When the document of cue changes in nadi
    Then within 5 s nadi-cue-2 has revision 2 of cue
    And suva-cue-1 has revision 1 of cue
    When the partition heals
    Then within 20 s the nodes of each zone know 4 servers of cue
    And within 10 s suva-cue-2 has revision 2 of cue
    And callers of every node get complete answers

  Scenario: Keyed requests are sent on both sides of a partition
    When keyed requests are sent in both zones while suva is partitioned
    Then new keyed requests ran in nadi and were refused as noQuorum, not run, in suva
    And callers of every node get complete answers
    When the partition heals
    Then every keyed request has a final outcome and ran at most once
