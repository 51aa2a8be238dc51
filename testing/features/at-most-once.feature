Feature: A task that may have started is never sent again, and a task that has not started is sent to another target

  Background:
    Given an installation of 1 zone with 1 entry VM and 2 targets in each zone

  Scenario: Connections are reset after the request is written
    Given a job "order" of 1 task that completes, reserved at entry-zone-a-0
    When the connection of the next request to target-zone-a-0 is reset after the request is written
    And the connection of the next request to target-zone-a-1 is reset after the request is written
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And no task of "order" has started more than once

  Scenario: A gateway between the entry VM and the targets answers 502
    Given a job "order" of 1 task that completes, reserved at entry-zone-a-0
    When a gateway in front of target-zone-a-0 answers 502
    And a gateway in front of target-zone-a-1 answers 502
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And each task of "order" has started exactly once

  Scenario: Open connections stop passing data while new connections work
    Given a job "first" of 4 tasks that complete, reserved at entry-zone-a-0
    And a job "second" of 4 tasks that hold, with a deadline of 3000 ms, reserved at entry-zone-a-0
    And a job "third" of 4 tasks that complete, reserved at entry-zone-a-0
    When "first" is submitted at entry-zone-a-0
    And every request for "first" has been answered
    And "second" is submitted at entry-zone-a-0
    And 4 tasks of "second" have started
    And the open connections to target-zone-a-0 stop passing data
    And the open connections to target-zone-a-1 stop passing data
    And the held tasks are released
    Then every answer to "second" is may-have-run
    And each task of "second" has started exactly once
    When "third" is submitted at entry-zone-a-0
    Then every answer to "third" is completed
    And each task of "third" has started exactly once

  Scenario: The entry VM sends the tasks to another target when one refuses connections
    Given a job "order" of 4 tasks that complete, reserved at entry-zone-a-0
    When target-zone-a-0 refuses connections
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is completed
    And each task of "order" has started exactly once
    And target-zone-a-0 has started no task

  Scenario: The entry VM sends the tasks to another target when one reports that it is full
    Given a job "order" of 4 tasks that complete, reserved at entry-zone-a-0
    When target-zone-a-0 reports that it is full
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is completed
    And each task of "order" has started exactly once
    And target-zone-a-0 has started no task
