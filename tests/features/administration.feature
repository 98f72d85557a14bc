Feature: Teams and operators administer control VMs

  Background:
    Given 3 control VMs and a document of publishing

  Scenario Outline: An invalid change is refused with its reason
    When <who> puts <document> with revision <revision>
    Then the command exits with status <status> and prints <said>

    Examples:
      | who        | document         | revision | status | said                          |
      | publishing | its document     | 0        | 4      | revisionConflict: revision 1  |
      | publishing | a stolen one     | 0        | 5      | forbidden: key team           |
      | operators  | a taken over one | 1        | 5      | forbidden: the document of cue|
      | nobody     | its document     | 1        | 5      | unauthorized                  |
      | publishing | an unknown key   | 1        | 2      | line 3: worthh: unknown key   |
      | publishing | a missing file   | 1        | 2      | cannot be read                |

  Scenario: The history shows who changed a document
    When publishing puts its document with revision 1
    Then the history of cue names publishing for revisions 1 and 2

  Scenario: Status shows the leader and how far each log is replicated
    Then status shows 3 control VMs, one leader and the match index of each
    And the metrics of each control VM show its role and its disk syncs
    When one follower is killed
    Then status shows that it does not answer

  Scenario: An operator can remove a control VM and a team cannot
    When one follower is killed
    Then publishing cannot remove it
    And operators remove it and 2 voters remain

  Scenario: A second cluster is not created next to the first
    When an empty control VM is started with --bootstrap and the peers
    Then it exits with status 1 and an error that names the cluster
