import {type JobShape} from './hand-over.js';
import {type Incarnation} from './identifier.js';
import {type JobAnswer} from './job.js';
import {createRefusal, type Refusal, type Verdict} from './verdict.js';

/** Limits of a `SubmissionStore`. */
export type SubmissionStoreLimits = {
	/** Time in milliseconds after its issue during which an identifier can start a submission. */
	readonly startWindowMs: number;
	/** Minimum time in milliseconds for which a settled submission is retained. */
	readonly retentionMs: number;
	/** Maximum difference in milliseconds between the clocks of two entry VMs. */
	readonly clockSkewMs: number;
	/**
	 * Limit on the total length of retained outputs, as measured by {@link measureOutputLength}. The oldest outputs are
	 * evicted first; their verdicts are retained.
	 */
	readonly answerBytes: number;
};

/** The record of a submission that has started and has not settled. */
export type RunningRecord = {
	readonly team: string;
	readonly shape: JobShape;
	/** The earlier owner that runs the submission, or `undefined` if this entry VM runs it. */
	readonly at: Incarnation | undefined;
	/** Time of the start or the adoption in milliseconds since 1970, by this entry VM's clock. */
	readonly sinceMs: number;
};

/** The record of a submission that has its final answer. */
export type SettledRecord = {
	readonly team: string;
	readonly shape: JobShape | undefined;
	readonly answer: JobAnswer;
	/** Length of the outputs, as measured by {@link measureOutputLength}. */
	readonly outputLength: number;
	/** Time of recording in milliseconds since 1970, by this entry VM's clock. */
	readonly settledAtMs: number;
};

/**
 * The decision on one copy of a request.
 *
 * - `start`: start the submission.
 * - `join`: the submission runs on this entry VM; wait for its answer.
 * - `elsewhere`: the submission runs on the earlier owner `at`; get its answer there.
 * - `moved`: this entry VM must not start the submission; its successor decides.
 * - `answer`: the submission has settled.
 * - `refuse`: the identifier is unknown, expired or reused.
 */
export type Admission =
	| {readonly kind: 'start'}
	| {readonly kind: 'join'}
	| {readonly kind: 'elsewhere'; readonly at: Incarnation}
	| {readonly kind: 'moved'}
	| {readonly kind: 'answer'; readonly answer: JobAnswer}
	| {
			readonly kind: 'refuse';
			readonly verdict: Verdict;
			readonly refusal: Refusal;
	  };

/** Returns the length of an answer's outputs as JSON text in UTF-16 code units; 0 without outputs. */
export function measureOutputLength({outputs}: JobAnswer): number {
	return outputs === undefined ? 0 : JSON.stringify(outputs).length;
}

/** Copies a record without its outputs. The verdict is kept, with the refusal `answer-expired`. */
export function withoutOutputs(record: SettledRecord): SettledRecord {
	const {identifier, verdict} = record.answer;
	return {
		...record,
		outputLength: 0,
		answer: {
			identifier,
			verdict,
			refusal: createRefusal(
				'answer-expired',
				'The submission completed, but its outputs are no longer stored.',
			),
		},
	};
}

/** Refuses an identifier that is malformed, has an unknown issuer or has the wrong tag for the team. */
export function refuseUnknownIdentifier(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: createRefusal(
			'identifier-unknown',
			'This identifier was not issued to this team by the entry VM that it names.',
		),
	};
}

/** Refuses an identifier that has no record and is past its start window. */
export function refuseExpiredIdentifier(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: createRefusal(
			'identifier-expired',
			'This identifier is too old to start a submission, and no record of an earlier submission is stored.',
		),
	};
}

/** Refuses an identifier that was used for a job of another shape. */
export function refuseReusedIdentifier(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: createRefusal(
			'identifier-reused',
			'This identifier was used with another entry or another number of tasks.',
		),
	};
}
