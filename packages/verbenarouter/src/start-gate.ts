/** Decides when the tasks of admitted jobs may start, as far as limits go. */
import {type Refusal} from '@verbenarouter/core';
import {type JobOrder} from './dispatcher.js';

/**
 * Decides when the tasks of admitted jobs may start.
 *
 * The dispatcher asks `mayStart` right before it places a task, calls `started` in the same turn of the event loop,
 * and `ended` once for each `started`, whatever the outcome.
 */
export type StartGate = {
	/** Why the job can't run within the limits even when nothing else does; `undefined` when it can. */
	refusal(order: JobOrder, now: number): Refusal | undefined;
	/** A job was admitted: its tasks wait. */
	admitted(order: JobOrder, now: number): void;
	/** Whether one more task of this job may start now. */
	mayStart(order: JobOrder, now: number): boolean;
	/** A task has been sent to a target. */
	started(order: JobOrder, now: number): void;
	/** A task that was sent has ended, or surely did not start. */
	ended(order: JobOrder, now: number): void;
	/** The job has its answer: none of its tasks waits any more. */
	settled(order: JobOrder, now: number): void;
};

/** Lets everything start: the baseline without limits. */
export class OpenGate implements StartGate {
	refusal(): undefined {
		return undefined;
	}

	admitted(): void {
		// Nothing is counted.
	}

	mayStart(): boolean {
		return true;
	}

	started(): void {
		// Nothing is counted.
	}

	ended(): void {
		// Nothing is counted.
	}

	settled(): void {
		// Nothing is counted.
	}
}
