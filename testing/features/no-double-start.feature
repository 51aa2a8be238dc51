Feature: No task of a submission starts twice
  Starts are counted at the targets.

  Background:
    Given an installation of 2 zones, each with 2 entry VMs and 2 targets

  Scenario: Resubmission to other entry VMs while the first copy works
    Given the job "order" of 6 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-0
    And 6 tasks of "order" have started
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-b-0
    And "order" is submitted at entry-zone-a-0
    And the held tasks are released
    Then every answer to "order" is completed
    And every answer to "order" has the output of each of its tasks
    And each task of "order" has started once

  Scenario: A copy that arrives after the answer
    Given the job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-1
    And all callers of "order" have their answers
    And "order" is submitted at entry-zone-a-0
    And "order" is submitted at entry-zone-b-0
    Then every answer to "order" is completed
    And each task of "order" has started once

  Scenario: A delayed copy that arrives after the cancellation
    Given the job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is cancelled at entry-zone-b-0
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is not-run
    And no task of "order" has started

  Scenario: The owner is frozen while its tasks run, and woken after every deadline
    Given the job "order" of 6 tasks that hold within 1500 ms, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-0
    And 6 tasks of "order" have started
    And entry-zone-a-0 is frozen
    And "order" is submitted at entry-zone-a-1
    And all callers of "order" have their answers
    And "order" is submitted at entry-zone-b-1
    And all callers of "order" have their answers
    Then every answer to "order" is may-have-run
    When the held tasks are released
    And entry-zone-a-0 is woken
    And "order" is submitted at entry-zone-a-0
    And all callers of "order" have their answers
    Then each task of "order" has started once

  Scenario: The owner is frozen before the copies reach it, and woken after every deadline
    Given the job "order" of 6 tasks that complete within 700 ms, reserved at entry-zone-a-0
    When entry-zone-a-0 is frozen
    And "order" is submitted at entry-zone-b-0
    And "order" is submitted at entry-zone-a-1
    And all callers of "order" have their answers
    Then every answer to "order" is may-have-run
    When entry-zone-a-0 is woken
    And "order" is submitted at entry-zone-a-0
    And all callers of "order" have their answers
    Then no task of "order" has started twice

  Scenario: The owner dies before anything is sent
    Given the job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When entry-zone-a-0 is killed
    And "order" is submitted at entry-zone-a-1
    And "order" is submitted at entry-zone-b-0
    And all callers of "order" have their answers
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    Then every answer to "order" is may-have-run
    And no task of "order" has started

  Scenario: The owner dies while it sends
    Given the job "order" of 100 tasks that hold, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-b-0
    And 10 tasks of "order" have started
    And entry-zone-a-0 is killed
    And all callers of "order" have their answers
    And "order" is submitted at entry-zone-a-1
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    And "order" is submitted at entry-zone-b-1
    Then every answer to "order" is may-have-run
    And no task of "order" has started twice
    And fewer than 100 tasks of "order" have started

  Scenario: The owner dies after its answer
    Given the job "order" of 6 tasks that complete, reserved at entry-zone-a-0
    When "order" is submitted at entry-zone-a-0
    And all callers of "order" have their answers
    And entry-zone-a-0 is killed
    And "order" is submitted at entry-zone-a-1
    And a new process starts at the addresses of entry-zone-a-0
    And "order" is submitted at entry-zone-a-0
    Then the last answer to "order" is may-have-run
    And each task of "order" has started once

  Scenario: A zone is cut off, and both sides get copies
    Given the job "inside" of 4 tasks that complete, reserved at entry-zone-a-0
    And the job "outside" of 4 tasks that complete, reserved at entry-zone-b-0
    When zone-a is cut off
    And "inside" is submitted at entry-zone-a-1
    And "outside" is submitted at entry-zone-b-1
    Then every answer to "inside" is completed
    And every answer to "outside" is completed
    When "inside" is submitted at entry-zone-b-0
    And "outside" is submitted at entry-zone-a-0
    Then the last answer to "inside" is may-have-run
    And the last answer to "outside" is may-have-run
    When the network is whole again
    Then each task of "inside" has started once
    And each task of "outside" has started once

  Scenario: The platform is out
    Given the job "order" of 6 tasks that hold, reserved at entry-zone-a-0
    When the platform is out
    And "order" is submitted at entry-zone-b-0
    And 6 tasks of "order" have started
    And "order" is submitted at entry-zone-a-1
    And the held tasks are released
    Then every answer to "order" is completed
    And each task of "order" has started once
