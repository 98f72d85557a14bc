Feature: Nodes know who serves what

  Background:
    Given three nodes in two zones, each with a server of cue

  Scenario Outline: A server that fails is dropped and comes back
    When the <process> of suva-cue-2 is <failed>
    Then within 12 s the other nodes know 2 servers of cue
    And callers of the other nodes get whole answers
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
    Then callers of the other nodes get whole answers
    And the server of reels ran no request of cue

  Scenario: A node that restarts without control learns documents from neighbours
    When control is stopped
    And the node of suva-cue-2 is killed
    And the node of suva-cue-2 is restarted
    Then within 12 s suva-cue-2 has the documents of its neighbours
    And a caller of suva-cue-2 gets a whole answer

  Scenario: A change is in force on all nodes within 5 s
    When the document of cue changes
    Then within 5 s document status counts the change on 3 of 3 nodes

  Scenario Outline: A bad announcement changes nothing and names the key
    When the server of suva-cue-2 announces <key> as <value>
    Then the announcement is refused and names <key>
    And within 12 s the other nodes know 3 servers of cue

    Examples:
      | key         | value            |
      | slots       | 0                |
      | slots       | "four"           |
      | address     | "localhost:80"   |
      | service     | "no/such/name"   |
      | state       | "asleep"         |
      | connections | null             |
