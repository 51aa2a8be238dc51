Feature: A job's answer is either complete or failed

  Background:
    Given an installation of 2 zones, each with 2 entry VMs and 2 targets

  Scenario: All of 1,400 tasks complete
    Given the job "plan" of 1400 tasks that complete, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-b-0
    Then every answer to "plan" is completed
    And every answer to "plan" has the output of each of its tasks
    And each task of "plan" has started once

  Scenario Outline: One of 1,400 tasks <fate>
    Given the job "plan" of 1400 tasks that complete within 3000 ms but for number 700, which has to <behave>, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-a-1
    And "plan" is submitted at entry-zone-b-1
    Then every answer to "plan" is failed
    And no answer to "plan" has an output
    And no task of "plan" has started twice

    Examples:
      | fate                             | behave      |
      | fails                            | fail        |
      | ends after the deadline          | are silent  |
      | is answered in another's name    | are crossed |

  Scenario: A running job is cancelled
    Given the job "plan" of 1400 tasks that hold, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-a-1
    And 20 tasks of "plan" have started
    And "plan" is cancelled at entry-zone-b-0
    Then every answer to "plan" is may-have-run
    And no answer to "plan" has an output
    And the targets have stopped every task of "plan" that was running
    And fewer than 1400 tasks of "plan" have started
