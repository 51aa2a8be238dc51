Feature: Each caller receives the complete answer to its own request

  Scenario: Two callers wait for each of two submissions that run concurrently
    Given an installation of 2 zones with 2 entry VMs and 2 targets in each zone
    And a job "first" of 5 tasks that hold, reserved at entry-zone-a-0
    And a job "second" of 5 tasks that hold, reserved at entry-zone-b-0
    When "first" is submitted at entry-zone-a-1
    And "first" is submitted at entry-zone-b-0
    And "second" is submitted at entry-zone-a-1
    And "second" is submitted at entry-zone-b-0
    And 5 tasks of "first" have started
    And 5 tasks of "second" have started
    And the held tasks are released
    Then every answer to "first" is completed
    And every answer to "first" has the outputs of all its tasks in order
    And every answer to "second" is completed
    And every answer to "second" has the outputs of all its tasks in order

  Scenario: A caller disconnects and submits its job again at another entry VM
    Given an installation of 2 zones with 2 entry VMs and 2 targets in each zone
    And a job "order" of 5 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-1 by a caller that disconnects once all tasks have started
    And "order" is submitted at entry-zone-b-1
    And the held tasks are released
    Then every answer to "order" is completed
    And every answer to "order" has the outputs of all its tasks in order
    And each task of "order" has started exactly once

  Scenario: Another team submits a job with an identifier that it does not own
    Given an installation of 2 zones with 2 entry VMs and 2 targets in each zone
    And a job "order" of 5 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-1
    And every request for "order" has been answered
    And "order" is submitted at entry-zone-b-0 by another team
    Then no answer to "order of another team" has outputs
    And each task of "order" has started exactly once

  Scenario: The network swaps the answers of two tasks
    Given an installation of 1 zone with 1 entry VM and 1 target in each zone
    And a job "first" of 1 task that holds, reserved at entry-zone-a-0
    And a job "second" of 1 task that holds, reserved at entry-zone-a-0
    When "first" is submitted at entry-zone-a-0
    And "second" is submitted at entry-zone-a-0
    And 1 task of "first" has started
    And 1 task of "second" has started
    And the next two answers of target-zone-a-0 are swapped
    And the held tasks are released
    Then every answer to "first" is may-have-run
    And every answer to "second" is may-have-run
    And each task of "first" has started exactly once
    And each task of "second" has started exactly once
