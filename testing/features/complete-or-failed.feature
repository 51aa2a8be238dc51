Feature: A job is answered with all its outputs or with none

  Background:
    Given an installation of 2 zones with 2 entry VMs and 2 targets in each zone

  Scenario: All 1,400 tasks complete
    Given a job "plan" of 1400 tasks that complete, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-b-0
    Then every answer to "plan" is completed
    And every answer to "plan" has the outputs of all its tasks in order
    And each task of "plan" has started exactly once

  Scenario Outline: One of 1,400 tasks <fate>
    Given a job "plan" of 1400 tasks that complete, with a deadline of 3000 ms, except task 700, which behaves like tasks that <behave>, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-a-1
    And "plan" is submitted at entry-zone-b-1
    Then every answer to "plan" is failed
    And no answer to "plan" has outputs
    And no task of "plan" has started more than once

    Examples:
      | fate                             | behave      |
      | fails                            | fail        |
      | ends after the deadline          | are silent  |
      | is answered as another task      | are crossed |

  Scenario: A job is cancelled while its tasks run
    Given a job "plan" of 1400 tasks that hold, reserved at entry-zone-a-0
    When "plan" is submitted at entry-zone-a-1
    And 20 tasks of "plan" have started
    And "plan" is cancelled at entry-zone-b-0
    Then every answer to "plan" is may-have-run
    And no answer to "plan" has outputs
    And the targets have stopped every task of "plan" that was running
    And fewer than 1400 tasks of "plan" have started
