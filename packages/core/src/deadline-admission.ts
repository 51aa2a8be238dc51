import {createRefusal, type Refusal} from './verdict.js';

/** Estimates of an arriving job and of the queue, on which its admission depends. */
export type DeadlineAdmissionInput = {
	/** Milliseconds until the job's deadline. */
	readonly remainingMs: number;
	/** Expected run time in milliseconds of the job's longest task. */
	readonly expectedTaskMs: number;
	/** Run time in milliseconds below which few tasks of the job's class finish. */
	readonly minTaskMs: number;
	/** Expected work of the whole job in slot milliseconds, the sum of its tasks' run times. */
	readonly jobWorkMs: number;
	/** Expected work in slot milliseconds that is queued ahead of the job. */
	readonly backlogMs: number;
	/** Number of slots that this entry VM keeps busy, which is the rate at which it works off the backlog. */
	readonly busySlots: number;
};

/** Share of the time until the deadline that the expected response time may use. */
const usableDeadlineShare = 0.8;
const minRetryAfterMs = 100;

/**
 * Decides whether an arriving job can be answered before its deadline.
 *
 * Returns `undefined` to admit it, or a refusal: `deadline-impossible` if even a fast task of its class takes longer than the
 * remaining time, `overloaded` with a retry delay if the backlog is too long. Without a backlog, no job is overloaded.
 */
export function checkDeadlineAdmission(
	input: DeadlineAdmissionInput,
): Refusal | undefined {
	const {remainingMs, expectedTaskMs, minTaskMs, jobWorkMs, backlogMs} = input;
	if (minTaskMs > remainingMs) {
		return createRefusal(
			'deadline-impossible',
			`A task of this entry takes at least ${Math.round(minTaskMs)} ms, but only ${Math.floor(remainingMs)} ms remain until the deadline.`,
		);
	}

	const slots = Math.max(1, input.busySlots);
	const waitMs = backlogMs / slots;
	const responseMs = waitMs + Math.max(expectedTaskMs, jobWorkMs / slots);
	const usableMs = remainingMs * usableDeadlineShare;
	if (backlogMs === 0 || responseMs <= usableMs) {
		return undefined;
	}

	return createRefusal(
		'overloaded',
		`The expected response time is ${Math.round(responseMs)} ms, which is too long for the ${Math.floor(remainingMs)} ms that remain until the deadline.`,
		Math.max(minRetryAfterMs, Math.min(waitMs, responseMs - usableMs)),
	);
}
