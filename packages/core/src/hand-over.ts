import {type Incarnation} from './identifier.js';
import {type JobAnswer} from './job.js';

/** The entry and task count of a job, compared to detect that an identifier is reused for a different job. */
export type JobShape = {
	readonly entry: string;
	readonly taskCount: number;
};

/** The right to start the submissions whose identifiers one incarnation issued. */
export type Ownership = {
	readonly issuer: Incarnation;
	/** The HMAC key that signs the issuer's identifiers. */
	readonly secret: string;
};

/** A submission that has its final answer. */
export type SettledSubmission = {
	readonly identifier: string;
	readonly team: string;
	/** Absent when the submission was refused before its job was parsed. */
	readonly shape?: JobShape | undefined;
	readonly answer: JobAnswer;
};

/** A submission that still runs on the entry VM that started it. */
export type RunningSubmission = {
	readonly identifier: string;
	readonly team: string;
	readonly shape: JobShape;
	/** The incarnation that runs the submission. */
	readonly at: Incarnation;
};

/** The state that a stopping entry VM transfers to its successor, which then owns its submissions. */
export type HandOver = {
	readonly from: Incarnation;
	/** Send time in milliseconds since 1970, by the sender's clock. */
	readonly sentAtMs: number;
	readonly ownerships: readonly Ownership[];
	readonly running: readonly RunningSubmission[];
	/** Settled submissions that have not been replicated to the successor yet. */
	readonly settled: readonly SettledSubmission[];
};

/**
 * The receiver's reply to a hand-over.
 *
 * - `adopted`: the receiver is the owner, or was the owner and has since handed over to its own successor.
 * - `declined`: the receiver has not adopted this hand-over and never will.
 */
export type HandOverReply = 'adopted' | 'declined';

/** A connected peer that can become the successor. */
export type SuccessorCandidate = {
	readonly incarnation: Incarnation;
	/** Keys of the incarnations whose submissions the peer owns. */
	readonly holds: readonly string[];
	readonly isLeaving: boolean;
};

/**
 * Chooses the peer to hand over to, or `undefined` if every peer is leaving. Peers in the same zone come first, then
 * peers that own fewer incarnations.
 */
export function chooseSuccessor<T extends SuccessorCandidate>(
	zone: string,
	candidates: readonly T[],
): T | undefined {
	const zoneRank = ({incarnation}: T) => (incarnation.zone === zone ? 0 : 1);
	return candidates
		.filter(({isLeaving}) => !isLeaving)
		.toSorted(
			(a, b) =>
				zoneRank(a) - zoneRank(b) ||
				a.holds.length - b.holds.length ||
				a.incarnation.entryVm.localeCompare(b.incarnation.entryVm),
		)[0];
}
