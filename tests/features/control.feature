Feature: No accepted change is lost or reverted

  Scenario Outline: Accepted changes survive a fault of the leader
    Given 3 control VMs and 12 accepted changes
    When the leader is <fault>
    Then another control VM becomes the leader
    And 6 more changes are accepted
    When the fault ends
    Then every control VM has exactly the accepted changes

    Examples:
      | fault                      |
      | killed                     |
      | frozen                     |
      | cut off                    |
      | cut off from what comes in |

  Scenario: An isolated old leader accepts no changes and serves no reads
    Given 3 control VMs and 6 accepted changes
    When the leader is cut off
    Then a change sent to the old leader is refused with noQuorum
    And a read at the old leader is refused with noQuorum
    When the fault ends
    Then every control VM has exactly the accepted changes

  Scenario: Two control VMs lose their data folders one after the other
    Given 3 control VMs and 12 accepted changes
    When control-2 loses its data folder
    Then control-2 votes with a new disk id
    When the leader is killed
    Then another control VM becomes the leader
    And 6 more changes are accepted
    When control-3 loses its data folder after the fault ended
    Then control-3 votes with a new disk id
    And every control VM has exactly the accepted changes

  Scenario: A control VM with a new disk votes again while reads are frequent
    Given 3 control VMs and 6 accepted changes
    And every control VM is read every 50 ms
    When control-2 loses its data folder
    Then control-2 votes with a new disk id
    And 6 more changes are accepted
    And every control VM has exactly the accepted changes

  Scenario: A control VM without a majority accepts no changes
    Given 3 control VMs and 6 accepted changes
    When both followers are killed
    Then a change sent to the old leader is refused with noQuorum

  Scenario: All control VMs restart after more than 500 changes
    Given 3 control VMs and 1100 accepted changes
    When all control VMs are killed and started again
    Then every control VM has exactly the accepted changes
    And the first change gets its original answer when it is resent
    And 6 more changes are accepted

  Scenario: One of several changes with the same revision is accepted
    Given 3 control VMs and 6 accepted changes
    When operators send changes with the same revision to all control VMs at once
    Then one change is accepted and the others are refused with revisionConflict
    And every control VM has exactly the accepted changes

  Scenario: A change resent after a lost answer gets its original answer
    Given 3 control VMs and 6 accepted changes
    When a change is accepted and then another one
    And the leader is killed
    Then another control VM becomes the leader
    And the resent change gets its original answer

  Scenario: A graceful shutdown of the leader loses no change
    Given 3 control VMs and 6 accepted changes
    When the leader is stopped with SIGTERM while changes are sent
    Then no change failed and the exit status is 0
    And every running control VM has exactly the accepted changes

  Scenario: A control VM with a full disk refuses changes and loses none
    Given 1 control VMs and 6 accepted changes
    When the disk of control-1 is full
    Then a change sent to the old leader is refused with storageFailed
    When the disk has space again
    Then 6 more changes are accepted
    And every control VM has exactly the accepted changes

  Scenario: A leader with a full disk gives up leadership
    Given 3 control VMs and 6 accepted changes
    When the disk of the leader is full
    Then 6 more changes are accepted
    And another control VM becomes the leader
    And every other control VM has exactly the accepted changes

  Scenario: An incomplete record at the end of the log is removed at startup
    Given 1 control VMs and 6 accepted changes
    When control-1 is killed and half a record is appended to its log
    Then every control VM has exactly the accepted changes

  Scenario: A damaged record in the middle of the log prevents startup
    Given 1 control VMs and 6 accepted changes
    When control-1 is killed and a byte of its log is changed
    Then it exits with status 1 at startup and names the file and the offset

  Scenario Outline: A node receives changes while the old leader is <fault>
    Given 3 control VMs and 6 accepted changes
    And a node that gets its documents from the leader
    When the leader is <fault>
    Then another control VM becomes the leader
    And 6 more changes are accepted
    And the accepted changes are active on the node

    Examples:
      | fault   |
      | cut off |
      | frozen  |
