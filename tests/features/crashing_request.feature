Feature: A request that crashes backend servers is quarantined

  Scenario: A crashing request is resent 20 times through all entry nodes
    Given a control VM, four nodes and four backend servers of cue
    When harmless requests are in flight and a crashing request is resent 20 times
    Then at most 2 backend servers crashed
    And every harmless request and all but at most 2 unrelated ones were served
    And every node has quarantined only the crashing request
    And the last resends were refused before they ran and told when to retry

  Scenario: A node that joins later receives the quarantine list
    Given a control VM, four nodes and four backend servers of cue
    When a node joins after the crashes
    Then it refuses the crashing request

  Scenario: An operator lifts the quarantine
    Given a control VM, four nodes and four backend servers of cue
    When an operator lists and lifts the quarantine at one node
    Then no node refuses the crashing request

  Scenario: Callers time out before the crash
    Given all backend servers run again
    When a request that crashes late is resent 7 times by callers that time out
    Then at most 2 backend servers crashed because of it
