/** What an entry VM that stops gives to its successor, and the choice of the successor. */
import {type Incarnation} from './identifier.js';
import {type JobAnswer} from './job.js';

/** What one job looks like, to tell a copy of a request from another request under the same identifier. */
export type JobShape = {
	readonly entry: string;
	readonly taskCount: number;
};

/** The right to start the submissions whose identifiers one incarnation issued. */
export type Ownership = {
	readonly issuer: Incarnation;
	readonly secret: string;
};

/** A submission that has its answer. */
export type SettledSubmission = {
	readonly identifier: string;
	readonly team: string;
	/** Absent when the submission was refused before its job was read. */
	readonly shape?: JobShape | undefined;
	readonly answer: JobAnswer;
};

/** A submission that goes on running at the entry VM that started it. */
export type RunningSubmission = {
	readonly identifier: string;
	readonly team: string;
	readonly shape: JobShape;
	/** Where it runs. */
	readonly at: Incarnation;
};

/** Everything that a successor needs to answer in the place of an entry VM that stops. */
export type HandOver = {
	readonly from: Incarnation;
	/** In milliseconds since 1970 by the clock of the one who stops. */
	readonly sentAtMs: number;
	readonly ownerships: readonly Ownership[];
	readonly running: readonly RunningSubmission[];
	/** Those that have not been copied to the successor before. */
	readonly settled: readonly SettledSubmission[];
};

/**
 * - `adopted`: the receiver is the owner, or has been and has handed over itself.
 * - `declined`: the receiver has not adopted this hand-over and never will.
 */
export type HandOverReply = 'adopted' | 'declined';

/** A peer that may become the successor. */
export type SuccessorCandidate = {
	readonly incarnation: Incarnation;
	readonly holds: readonly string[];
	readonly isLeaving: boolean;
};

/** The peer to hand over to: one of the same zone if there is one, and the one that holds least. */
export function chooseSuccessor<T extends SuccessorCandidate>(
	zone: string,
	candidates: readonly T[],
): T | undefined {
	const distance = ({incarnation}: T) => (incarnation.zone === zone ? 0 : 1);
	return candidates
		.filter(({isLeaving}) => !isLeaving)
		.toSorted(
			(a, b) =>
				distance(a) - distance(b) ||
				a.holds.length - b.holds.length ||
				a.incarnation.entryVm.localeCompare(b.incarnation.entryVm),
		)[0];
}
