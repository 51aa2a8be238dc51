Feature: No task of a submission starts more than once
  The targets record the starts, and the steps count these records.

  Background:
    Given an installation of 2 zones with 2 entry VMs and 2 targets in each zone

  Scenario: Copies are submitted at other entry VMs while the tasks run
    Given a job "order" of 6 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-0
    And 6 tasks of "order" have started
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-b-0
    And "order" is submitted at entry-zone-a-0
    And the held tasks are released
    Then every answer to "order" is completed
    And every answer to "order" has the outputs of all its tasks in order
    And each task of "order" has started exactly once

  Scenario: Copies are submitted after the job has been answered
    Given a job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-1
    And every request for "order" has been answered
    And "order" is submitted at entry-zone-a-0
    And "order" is submitted at entry-zone-b-0
    Then every answer to "order" is completed
    And each task of "order" has started exactly once

  Scenario: Delayed copies arrive after the job has been cancelled
    Given a job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is cancelled at entry-zone-b-0
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is not-run
    And no task of "order" has started

  Scenario: The owner is paused while its tasks run and resumed after the job's deadline
    Given a job "order" of 6 tasks that hold, with a deadline of 1500 ms, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-0
    And 6 tasks of "order" have started
    And entry-zone-a-0 is paused
    And "order" is submitted at entry-zone-a-1
    And every request for "order" has been answered
    And "order" is submitted at entry-zone-b-1
    And every request for "order" has been answered
    Then every answer to "order" is may-have-run
    When the held tasks are released
    And entry-zone-a-0 is resumed
    And "order" is submitted at entry-zone-a-0
    And every request for "order" has been answered
    Then each task of "order" has started exactly once

  Scenario: The owner is paused before the copies reach it and resumed after the job's deadline
    Given a job "order" of 6 tasks that complete, with a deadline of 700 ms, reserved at entry-zone-a-0
    When entry-zone-a-0 is paused
    And "order" is submitted at entry-zone-b-0
    And "order" is submitted at entry-zone-a-1
    And every request for "order" has been answered
    Then every answer to "order" is may-have-run
    When entry-zone-a-0 is resumed
    And "order" is submitted at entry-zone-a-0
    And every request for "order" has been answered
    Then no task of "order" has started more than once

  Scenario: The owner is killed before it sends any task
    Given a job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When entry-zone-a-0 is killed
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-b-0
    And every request for "order" has been answered
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And no task of "order" has started

  Scenario: The owner is killed while it sends tasks
    Given a job "order" of 100 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-0
    And 10 tasks of "order" have started
    And entry-zone-a-0 is killed
    And every request for "order" has been answered
    And "order" is submitted at entry-zone-a-1
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    And "order" is submitted at entry-zone-b-1
    Then every answer to "order" is may-have-run
    And no task of "order" has started more than once
    And fewer than 100 tasks of "order" have started

  Scenario: The owner is killed after it has answered
    Given a job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-0
    And every request for "order" has been answered
    And entry-zone-a-0 is killed
    And "order" is submitted at entry-zone-a-1
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    Then the last answer to "order" is may-have-run
    And each task of "order" has started exactly once

  Scenario: Jobs are submitted on both sides of a network partition
    Given a job "inside" of 4 tasks that complete, reserved at entry-zone-a-0
    And a job "outside" of 4 tasks that complete, reserved at entry-zone-b-0
    When zone-a is partitioned from the other zones
    And "inside" is submitted at entry-zone-a-1
    And "outside" is submitted at entry-zone-b-1
    Then every answer to "inside" is completed
    And every answer to "outside" is completed
    When "inside" is submitted at entry-zone-b-0
    And "outside" is submitted at entry-zone-a-0
    Then the last answer to "inside" is may-have-run
    And the last answer to "outside" is may-have-run
    When all network faults are removed
    Then each task of "inside" has started exactly once
    And each task of "outside" has started exactly once

  Scenario: The platform is down while a job runs
    Given a job "order" of 6 tasks that hold, reserved at entry-zone-a-0
    When the platform is down
    And "order" is submitted at entry-zone-b-0
    And 6 tasks of "order" have started
    And "order" is submitted at entry-zone-a-1
    And the held tasks are released
    Then every answer to "order" is completed
    And each task of "order" has started exactly once
