Feature: A task whose start is in doubt is never sent again, and one that surely did not start is

  Background:
    Given an installation of 1 zone, each with 1 entry VM and 2 targets

  Scenario: The connection is reset after the request is written
    Given the job "order" of 1 task that complete, reserved at entry-zone-a-0
    When the next request to target-zone-a-0 is reset once it is written
    And the next request to target-zone-a-1 is reset once it is written
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And no task of "order" has started twice

  Scenario: Something in between answers 502
    Given the job "order" of 1 task that complete, reserved at entry-zone-a-0
    When a gateway before target-zone-a-0 answers 502
    And a gateway before target-zone-a-1 answers 502
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And each task of "order" has started once

  Scenario: Open connections go silent while new ones work
    Given the job "first" of 4 tasks that complete, reserved at entry-zone-a-0
    And the job "second" of 4 tasks that hold within 3000 ms, reserved at entry-zone-a-0
    And the job "third" of 4 tasks that complete, reserved at entry-zone-a-0
    When "first" is submitted at entry-zone-a-0
    And all callers of "first" have their answers
    And "second" is submitted at entry-zone-a-0
    And 4 tasks of "second" have started
    And the connections to target-zone-a-0 go silent
    And the connections to target-zone-a-1 go silent
    And the held tasks are released
    Then every answer to "second" is may-have-run
    And each task of "second" has started once
    When "third" is submitted at entry-zone-a-0
    Then every answer to "third" is completed
    And each task of "third" has started once

  Scenario: A target that refuses connections is passed over
    Given the job "order" of 4 tasks that complete, reserved at entry-zone-a-0
    When target-zone-a-0 refuses connections
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is completed
    And each task of "order" has started once
    And target-zone-a-0 has started no task

  Scenario: A target that says it is full is passed over
    Given the job "order" of 4 tasks that complete, reserved at entry-zone-a-0
    When target-zone-a-0 says that it is full
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is completed
    And each task of "order" has started once
    And target-zone-a-0 has started no task
