/** What an owner remembers of one submission, and the answers about those that it does not remember. */
import {type JobShape} from './hand-over.js';
import {type Incarnation} from './identifier.js';
import {type JobAnswer} from './job.js';
import {refusal, type Refusal, type Verdict} from './verdict.js';

/** Bounds of the memory of submissions. */
export type MemoryLimits = {
	/** Milliseconds after its issue during which an identifier may start. */
	readonly startWindowMs: number;
	/** Milliseconds for which a settled submission is remembered at least. */
	readonly retentionMs: number;
	/** Greatest difference in milliseconds between the clocks of two entry VMs. */
	readonly clockSkewMs: number;
	/** Bytes of answers that are kept; the oldest outputs are dropped first, their verdicts stay. */
	readonly answerBytes: number;
};

/** A submission that has started and has no answer yet. */
export type RunningRecord = {
	readonly team: string;
	readonly shape: JobShape;
	/** Where it runs, when an earlier owner started it. */
	readonly at: Incarnation | undefined;
	readonly sinceMs: number;
};

/** A submission that has its answer. */
export type SettledRecord = {
	readonly team: string;
	readonly shape: JobShape | undefined;
	readonly answer: JobAnswer;
	readonly answerBytes: number;
	/** By the clock of the one who remembers. */
	readonly settledAtMs: number;
};

/** What to do with a copy of a request. */
export type Admission =
	| {readonly kind: 'start'}
	| {readonly kind: 'join'}
	/** The submission runs at an earlier owner, which answers for it. */
	| {readonly kind: 'elsewhere'; readonly at: Incarnation}
	/** The successor decides: this entry VM may not start it any more. */
	| {readonly kind: 'moved'}
	| {readonly kind: 'answer'; readonly answer: JobAnswer}
	| {
			readonly kind: 'refuse';
			readonly verdict: Verdict;
			readonly refusal: Refusal;
	  };

/** Length of an answer's outputs as JSON. */
export function sizeOf({outputs}: JobAnswer): number {
	return outputs === undefined ? 0 : JSON.stringify(outputs).length;
}

/** The record without its outputs. Its verdict stays. */
export function withoutOutputs(record: SettledRecord): SettledRecord {
	const {identifier, verdict} = record.answer;
	return {
		...record,
		answerBytes: 0,
		answer: {
			identifier,
			verdict,
			refusal: refusal(
				'answer-expired',
				'The submission completed, and its answer is no longer kept.',
			),
		},
	};
}

/** The tag does not match, or the issuer is not known here. */
export function identifierUnknown(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-unknown',
			'This identifier was not issued to this team by the entry VM that it names.',
		),
	};
}

/** The identifier is too old to start. */
export function identifierExpired(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-expired',
			'This identifier is too old to start, and what became of it is no longer remembered.',
		),
	};
}

/** The identifier names another job. */
export function identifierReused(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-reused',
			'This identifier was used with another entry or another number of tasks.',
		),
	};
}
