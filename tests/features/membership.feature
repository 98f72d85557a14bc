Feature: Nodes know which backend servers are available

  Background:
    Given three nodes in two zones, each with a server of cue

  Scenario Outline: A failed server is removed and returns after its recovery
    When the <process> of suva-cue-2 is <failed>
    Then within 12 s the other nodes know 2 servers of cue
    And callers of the other nodes get complete answers
    When the <process> of suva-cue-2 is <mended>
    Then within 12 s the other nodes know 3 servers of cue

    Examples:
      | process | failed | mended    |
      | node    | killed | restarted |
      | node    | frozen | thawed    |
      | backend | killed | restarted |
      | backend | frozen | thawed    |

  Scenario: An address is reused by another service
    When the node of suva-cue-2 is killed
    And a node of reels starts at its address
    Then callers of the other nodes get complete answers
    And the server of reels ran no request of cue

  Scenario: A node that restarts without the control VM gets documents from its peers
    When the control VM is stopped
    And the node of suva-cue-2 is killed
    And the node of suva-cue-2 is restarted
    Then within 12 s suva-cue-2 has the documents of its peers
    And a caller of suva-cue-2 gets a complete answer

  Scenario: A changed document is active on all nodes within 5 s
    When the document of cue changes
    Then within 5 s document status counts the change on 3 of 3 nodes

  Scenario Outline: An invalid announcement is refused and changes nothing
    When the server of suva-cue-2 announces <key> as <value>
    Then the announcement is refused with an error that names <key>
    And within 12 s the other nodes know 3 servers of cue

    Examples:
      | key         | value            |
      | slots       | 0                |
      | slots       | "four"           |
      | address     | "localhost:80"   |
      | service     | "no/such/name"   |
      | state       | "asleep"         |
      | connections | null             |
