/** Refuses at the door what cannot be answered in time. */
import {createRefusal, type Refusal} from './verdict.js';

/** What the door knows of a job and of the queue. */
export type DoorView = {
	/** Milliseconds until the job's deadline. */
	readonly remainingMs: number;
	/** Expected run time of the job's longest task in milliseconds. */
	readonly longestMs: number;
	/** Least run time of its longest task in milliseconds. */
	readonly leastMs: number;
	/** Expected work of the job in slot milliseconds. */
	readonly workMs: number;
	/** Expected work that is served before it in slot milliseconds. */
	readonly aheadMs: number;
	/** Slots that this entry VM keeps busy, on average. */
	readonly busySlots: number;
};

/** Share of the time until the deadline that the expected response may take. */
const usableShare = 0.8;
const shortestRetryAfterMs = 100;

/** Why a job is not taken now; `undefined` when it is. */
export function refusalAtDoor(view: DoorView): Refusal | undefined {
	const {remainingMs, longestMs, leastMs, workMs, aheadMs} = view;
	if (leastMs > remainingMs) {
		return createRefusal(
			'deadline-impossible',
			`A task of this entry takes ${Math.round(leastMs)} ms or more; ${Math.floor(remainingMs)} ms are left.`,
		);
	}

	const slots = Math.max(1, view.busySlots);
	const waitMs = aheadMs / slots;
	const responseMs = waitMs + Math.max(longestMs, workMs / slots);
	const usableMs = remainingMs * usableShare;
	if (aheadMs === 0 || responseMs <= usableMs) {
		return undefined;
	}

	return createRefusal(
		'overloaded',
		`The job would take about ${Math.round(responseMs)} ms; ${Math.floor(remainingMs)} ms are left.`,
		Math.max(shortestRetryAfterMs, Math.min(waitMs, responseMs - usableMs)),
	);
}
