import {type Refusal} from '@verbenarouter/core';
import {type DispatchRequest} from './active-job.js';

/**
 * Limits the starts of tasks.
 *
 * The dispatcher calls `canStart` right before it places a task, `recordStart` in the same turn of the event loop, and
 * `recordEnd` once for each `recordStart`, whatever the outcome.
 */
export type StartLimiter = {
	/** Returns the refusal of a job that the limits do not let start completely before its deadline; `undefined` admits it. */
	checkAdmission(request: DispatchRequest, now: number): Refusal | undefined;
	/** Records that a job was admitted and its tasks are waiting. */
	recordAdmission(request: DispatchRequest, now: number): void;
	/** Whether one more task of the job may start now. */
	canStart(request: DispatchRequest, now: number): boolean;
	/** Records that a task is sent to a target. */
	recordStart(request: DispatchRequest, now: number): void;
	/** Records that a task that was sent has ended or did not start. */
	recordEnd(request: DispatchRequest, now: number): void;
	/** Records that the job has its answer, so none of its tasks is waiting any more. */
	recordSettlement(request: DispatchRequest, now: number): void;
};

/** The baseline without limits, which allows every start. */
export class UnlimitedStartLimiter implements StartLimiter {
	checkAdmission(): undefined {
		return undefined;
	}

	recordAdmission(): void {
		// Nothing is counted.
	}

	canStart(): boolean {
		return true;
	}

	recordStart(): void {
		// Nothing is counted.
	}

	recordEnd(): void {
		// Nothing is counted.
	}

	recordSettlement(): void {
		// Nothing is counted.
	}
}
