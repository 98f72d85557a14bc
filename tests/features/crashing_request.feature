Feature: A request that crashes backend servers is stopped

  Scenario: resent 20 times across the entries
    Given control, four nodes and four backend servers of cue
    When innocent requests are in flight and a crashing request is resent 20 times
    Then at most 2 backend servers died
    And every innocent and every bystander was served
    And every node has quarantined only the crashing request
    And the last resends were refused at once with a time to come back

  Scenario: a node that joins later learns the list
    Given control, four nodes and four backend servers of cue
    When a node joins after the deaths
    Then it refuses the crashing request

  Scenario: an operator lifts the quarantine
    Given control, four nodes and four backend servers of cue
    When an operator lists and lifts the quarantine at one node
    Then no node refuses the crashing request

  Scenario: callers give up before the crash
    Given all backend servers run again
    When a request that crashes late is resent 7 times by callers that give up
    Then at most 2 backend servers died of it
