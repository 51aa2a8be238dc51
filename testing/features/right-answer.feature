Feature: Each caller gets the whole answer to its own request

  Scenario: Two callers wait for one submission, and two submissions run side by side
    Given an installation of 2 zones, each with 2 entry VMs and 2 targets
    And the job "first" of 5 tasks that hold, reserved at entry-zone-a-0
    And the job "second" of 5 tasks that hold, reserved at entry-zone-b-0
    When "first" is submitted at entry-zone-a-1
    And "first" is submitted at entry-zone-b-0
    And "second" is submitted at entry-zone-a-1
    And "second" is submitted at entry-zone-b-0
    And 5 tasks of "first" have started
    And 5 tasks of "second" have started
    And the held tasks are released
    Then every answer to "first" is completed
    And every answer to "first" has the output of each of its tasks
    And every answer to "second" is completed
    And every answer to "second" has the output of each of its tasks

  Scenario: A caller goes away and asks again elsewhere
    Given an installation of 2 zones, each with 2 entry VMs and 2 targets
    And the job "order" of 5 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-1 by a caller that goes away once it has started
    And "order" is submitted at entry-zone-b-1
    And the held tasks are released
    Then every answer to "order" is completed
    And every answer to "order" has the output of each of its tasks
    And each task of "order" has started once

  Scenario: Another team asks under the identifier
    Given an installation of 2 zones, each with 2 entry VMs and 2 targets
    And the job "order" of 5 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-1
    And all callers of "order" have their answers
    And "order" is submitted at entry-zone-b-0 by another team
    Then no answer to "order of another team" has an output
    And each task of "order" has started once

  Scenario: The answers of two tasks are exchanged on the way
    Given an installation of 1 zone, each with 1 entry VM and 1 target
    And the job "first" of 1 task that hold, reserved at entry-zone-a-0
    And the job "second" of 1 task that hold, reserved at entry-zone-a-0
    When "first" is submitted at entry-zone-a-0
    And "second" is submitted at entry-zone-a-0
    And 1 task of "first" has started
    And 1 task of "second" has started
    And the next two answers of target-zone-a-0 are exchanged
    And the held tasks are released
    Then every answer to "first" is may-have-run
    And every answer to "second" is may-have-run
    And each task of "first" has started once
    And each task of "second" has started once
