/**
 * What an owner remembers of the submissions whose identifiers it issued or took over.
 *
 * A record is kept at least until its identifier can no longer start, so that a copy of a request either finds the
 * record or is too old to start. Nothing here is agreed with anyone: only the holder of an identifier's secret admits it.
 */
import {
	incarnationKey,
	isIssuedTo,
	issueIdentifier,
	parseIdentifier,
	type Incarnation,
} from './identifier.js';
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

/** What one job looks like, to tell a copy of a request from another request under the same identifier. */
export type JobShape = {
	readonly entry: string;
	readonly taskCount: number;
};

/** What is remembered of one submission. */
export type SubmissionRecord =
	| {readonly state: 'running'; readonly team: string; readonly shape: JobShape}
	| {
			readonly state: 'settled';
			readonly team: string;
			readonly shape: JobShape | undefined;
			readonly answer: JobAnswer;
			readonly answerBytes: number;
			readonly settledAtMs: number;
	  };

/** What to do with a copy of a request. */
export type Admission =
	| {readonly kind: 'start'}
	| {readonly kind: 'join'}
	| {readonly kind: 'answer'; readonly answer: JobAnswer}
	| {
			readonly kind: 'refuse';
			readonly verdict: Verdict;
			readonly refusal: Refusal;
	  };

/** The right to start the submissions whose identifiers one incarnation issued. */
export type Ownership = {
	readonly issuer: Incarnation;
	readonly secret: string;
};

/** What one owner hands to its successor. */
export type HandOver = {
	readonly ownerships: readonly Ownership[];
	readonly settled: ReadonlyArray<{
		readonly identifier: string;
		readonly team: string;
		readonly answer: JobAnswer;
		readonly settledAtMs: number;
	}>;
};

/** The submissions that one entry VM owns. */
export class SubmissionMemory {
	readonly #self: Ownership;
	readonly #limits: MemoryLimits;
	readonly #ownerships = new Map<string, Ownership>();
	readonly #records = new Map<string, SubmissionRecord>();
	#sequence = 0;
	#answerBytes = 0;

	constructor(self: Ownership, limits: MemoryLimits) {
		this.#self = self;
		this.#limits = limits;
		this.#ownerships.set(incarnationKey(self.issuer), self);
	}

	/** Submissions that are remembered. */
	get size(): number {
		return this.#records.size;
	}

	/** Keys of the incarnations whose submissions this entry VM answers for. */
	get holds(): readonly string[] {
		return [...this.#ownerships.keys()];
	}

	/** Issues an identifier under which the team may start one submission. */
	issue(team: string, now: number): string {
		this.#sequence += 1;
		return issueIdentifier(
			{...this.#self, team, sequence: this.#sequence},
			now,
		);
	}

	/** Whether this entry VM is the one that may start the identifier's submission. */
	owns(issuer: Incarnation): boolean {
		return this.#ownerships.has(incarnationKey(issuer));
	}

	/** Decides on one copy of a request, and records the start when there is to be one. */
	admit(
		identifier: string,
		team: string,
		shape: JobShape,
		now: number,
	): Admission {
		const known = this.lookUp(identifier, team, now);
		if (known.kind !== 'start') {
			return known.kind === 'refuse' || this.#isSameShape(identifier, shape)
				? known
				: identifierReused();
		}

		this.#records.set(identifier, {state: 'running', team, shape});
		return known;
	}

	/** What {@link admit} would decide, without recording anything. */
	lookUp(identifier: string, team: string, now: number): Admission {
		const parsed = parseIdentifier(identifier);
		const ownership =
			parsed && this.#ownerships.get(incarnationKey(parsed.issuer));
		if (
			parsed === undefined ||
			ownership === undefined ||
			!isIssuedTo(identifier, ownership.secret, team)
		) {
			return identifierUnknown();
		}

		const record = this.#records.get(identifier);
		if (record !== undefined) {
			return record.state === 'running'
				? {kind: 'join'}
				: {kind: 'answer', answer: record.answer};
		}

		return now > this.#lastStartAt(parsed.issuer, parsed.issuedAtMs)
			? identifierExpired()
			: {kind: 'start'};
	}

	/** Records the one answer of a submission; a second answer is ignored. */
	settle(
		identifier: string,
		team: string,
		answer: JobAnswer,
		now: number,
	): void {
		const record = this.#records.get(identifier);
		if (record?.state === 'settled') {
			return;
		}

		const answerBytes = sizeOf(answer);
		this.#answerBytes += answerBytes;
		// Deleting first keeps the map in the order of settling, which forgetting relies on.
		this.#records.delete(identifier);
		this.#records.set(identifier, {
			state: 'settled',
			team,
			shape: record?.shape,
			answer,
			answerBytes,
			settledAtMs: now,
		});
	}

	/** Drops what need not be remembered any longer, and the outputs of the oldest answers beyond the byte limit. */
	forget(now: number): void {
		for (const [identifier, record] of this.#records) {
			if (record.state === 'running') {
				continue;
			}

			const isOld =
				now >= record.settledAtMs + this.#limits.retentionMs &&
				this.#cannotStart(identifier, now);
			if (isOld) {
				this.#answerBytes -= record.answerBytes;
				this.#records.delete(identifier);
			} else if (this.#answerBytes > this.#limits.answerBytes) {
				this.#answerBytes -= record.answerBytes;
				this.#records.set(identifier, withoutOutputs(record));
			} else {
				break;
			}
		}
	}

	/** Everything that a successor needs to answer in this owner's place. Call it when nothing is running any more. */
	handOver(): HandOver {
		return {
			ownerships: [...this.#ownerships.values()],
			settled: [...this.#records].flatMap(([identifier, record]) =>
				record.state === 'settled'
					? [
							{
								identifier,
								team: record.team,
								answer: record.answer,
								settledAtMs: record.settledAtMs,
							},
						]
					: [],
			),
		};
	}

	/** Takes the place of an owner that has declared to start nothing more. */
	adopt(handOver: HandOver, now: number): void {
		for (const ownership of handOver.ownerships) {
			this.#ownerships.set(incarnationKey(ownership.issuer), ownership);
		}

		for (const {identifier, team, answer} of handOver.settled) {
			this.settle(identifier, team, answer, now);
		}
	}

	#lastStartAt(issuer: Incarnation, issuedAtMs: number): number {
		const isOwnClock =
			incarnationKey(issuer) === incarnationKey(this.#self.issuer);
		return (
			issuedAtMs +
			this.#limits.startWindowMs -
			(isOwnClock ? 0 : this.#limits.clockSkewMs)
		);
	}

	#cannotStart(identifier: string, now: number): boolean {
		const parsed = parseIdentifier(identifier);
		return (
			parsed === undefined ||
			now > this.#lastStartAt(parsed.issuer, parsed.issuedAtMs)
		);
	}

	#isSameShape(identifier: string, shape: JobShape): boolean {
		const known = this.#records.get(identifier)?.shape;
		return (
			known === undefined ||
			(known.entry === shape.entry && known.taskCount === shape.taskCount)
		);
	}
}

function sizeOf(answer: JobAnswer): number {
	return answer.outputs === undefined
		? 0
		: JSON.stringify(answer.outputs).length;
}

function withoutOutputs(
	record: Extract<SubmissionRecord, {state: 'settled'}>,
): SubmissionRecord {
	const {identifier, verdict} = record.answer;
	return record.answer.outputs === undefined
		? {...record, answerBytes: 0}
		: {
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

function identifierUnknown(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-unknown',
			'This identifier was not issued to this team by the entry VM that it names.',
		),
	};
}

function identifierExpired(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-expired',
			'This identifier is too old to start, and what became of it is no longer remembered.',
		),
	};
}

function identifierReused(): Admission {
	return {
		kind: 'refuse',
		verdict: 'may-have-run',
		refusal: refusal(
			'identifier-reused',
			'This identifier was used with another entry or another number of tasks.',
		),
	};
}
