Feature: No accepted change is lost or reverts

  Scenario Outline: Accepted changes outlive a fault of the leader
    Given 3 control VMs and 12 accepted changes
    When the leader is <fault>
    Then another control VM leads
    And 6 more changes are accepted
    When the fault ends
    Then every control VM has exactly the accepted changes

    Examples:
      | fault                      |
      | killed                     |
      | frozen                     |
      | cut off                    |
      | cut off from what comes in |

  Scenario: An isolated old leader accepts nothing
    Given 3 control VMs and 6 accepted changes
    When the leader is cut off
    Then a change sent to the old leader is refused with noQuorum
    And a read at the old leader is refused with noQuorum
    When the fault ends
    Then every control VM has exactly the accepted changes

  Scenario: A lost data folder is replaced, and a second one after the repair
    Given 3 control VMs and 12 accepted changes
    When control-2 loses its data folder
    Then control-2 votes with a new disk id
    When the leader is killed
    Then another control VM leads
    And 6 more changes are accepted
    When control-3 loses its data folder after the fault ended
    Then control-3 votes with a new disk id
    And every control VM has exactly the accepted changes

  Scenario: A control VM without its majority accepts nothing
    Given 3 control VMs and 6 accepted changes
    When both followers are killed
    Then a change sent to the old leader is refused with noQuorum

  Scenario: All control VMs restart after more than 500 changes
    Given 3 control VMs and 1100 accepted changes
    When all control VMs are killed and started again
    Then every control VM has exactly the accepted changes
    And a resent first change gets its first answer
    And 6 more changes are accepted

  Scenario: Equal revisions have one winner
    Given 3 control VMs and 6 accepted changes
    When operators race with equal revisions at all control VMs
    Then one change is accepted and the others hear revisionConflict
    And every control VM has exactly the accepted changes

  Scenario: A change resent after a lost answer gets its first answer
    Given 3 control VMs and 6 accepted changes
    When a change is accepted and another one follows it
    And the leader is killed
    Then another control VM leads
    And the resent change gets its first answer

  Scenario: A planned stop of the leader loses no change
    Given 3 control VMs and 6 accepted changes
    When the leader is stopped with SIGTERM while changes are sent
    Then no change failed and the exit status is 0
    And every running control VM has exactly the accepted changes

  Scenario: A full disk refuses changes and loses none
    Given 1 control VMs and 6 accepted changes
    When the disk of control-1 is full
    Then a change sent to the old leader is refused with storageFailed
    When the disk has space again
    Then 6 more changes are accepted
    And every control VM has exactly the accepted changes

  Scenario: A leader whose disk is full makes room for another
    Given 3 control VMs and 6 accepted changes
    When the disk of the leader is full
    Then 6 more changes are accepted
    And another control VM leads
    And every other control VM has exactly the accepted changes

  Scenario: A torn tail is cut at the start
    Given 1 control VMs and 6 accepted changes
    When control-1 is killed and half a record follows its log
    Then every control VM has exactly the accepted changes

  Scenario: Damage in the middle stops the start
    Given 1 control VMs and 6 accepted changes
    When control-1 is killed and a byte of its log is changed
    Then its start ends with status 1 and names the file and the offset

  Scenario Outline: A node learns of changes though a control VM is <fault>
    Given 3 control VMs and 6 accepted changes
    And a node that follows the leader
    When the leader is <fault>
    Then another control VM leads
    And 6 more changes are accepted
    And the accepted changes are in force on the node

    Examples:
      | fault   |
      | cut off |
      | frozen  |
