import {
	type HandOver,
	type HandOverReply,
	type JobShape,
	type Ownership,
	type SettledSubmission,
} from './hand-over.js';
import {
	incarnationKey,
	isIssuedTo,
	issueIdentifier,
	parseIdentifier,
	type Incarnation,
} from './identifier.js';
import {type JobAnswer} from './job.js';
import {
	refuseExpiredIdentifier,
	refuseReusedIdentifier,
	refuseUnknownIdentifier,
	measureOutputLength,
	withoutOutputs,
	type Admission,
	type SubmissionStoreLimits,
	type RunningRecord,
	type SettledRecord,
} from './submission-record.js';

/**
 * The phase of a store's ownership.
 *
 * - `open`: the store starts submissions.
 * - `closed`: a hand-over may have been adopted, so the store starts no submission.
 * - `passed-on`: the successor has acknowledged the hand-over; the store starts no submission and owns none.
 */
type Phase = 'open' | 'closed' | 'passed-on';

/**
 * Records the submissions whose identifiers one entry VM issued or adopted, and admits copies of their requests.
 *
 * A record is retained at least until its identifier can no longer start on any entry VM, so a copy of a request either
 * finds the record or is too old to start. Admission needs no consensus, because only the holder of an identifier's
 * secret admits it.
 */
export class SubmissionStore {
	readonly #self: Ownership;
	readonly #limits: SubmissionStoreLimits;
	/** Owned incarnations by key. `sinceMs` is the time of adoption, or infinity for this entry VM's own incarnation. */
	readonly #ownerships = new Map<
		string,
		{readonly ownership: Ownership; readonly sinceMs: number}
	>();

	readonly #running = new Map<string, RunningRecord>();
	/** Submissions that run on earlier owners, in order of adoption, on which {@link evictExpired} relies. */
	readonly #runningElsewhere = new Map<string, RunningRecord>();
	/** Settled submissions in order of recording, on which {@link evictExpired} relies. */
	readonly #settled = new Map<string, SettledRecord>();
	/** Identifiers of settled submissions whose outputs are retained, oldest first. */
	readonly #identifiersWithOutputs = new Set<string>();
	/** Settled submissions that the successor has not acknowledged; `undefined` until {@link startLeaving}. */
	#unreplicated: Map<string, SettledSubmission> | undefined;
	/**
	 * Keys of senders of declined hand-overs. Delayed copies are declined too, because the sender may have found another
	 * successor since.
	 */
	readonly #declinedSenders = new Set<string>();
	#phase: Phase = 'open';
	#sequence = 0;
	#totalOutputLength = 0;

	constructor(self: Ownership, limits: SubmissionStoreLimits) {
		this.#self = self;
		this.#limits = limits;
		this.#ownerships.set(incarnationKey(self.issuer), {
			ownership: self,
			sinceMs: Number.POSITIVE_INFINITY,
		});
	}

	/** Number of recorded submissions. */
	get size(): number {
		return (
			this.#running.size + this.#runningElsewhere.size + this.#settled.size
		);
	}

	/** Number of submissions that run on this entry VM. */
	get localRunningCount(): number {
		return this.#running.size;
	}

	/** Number of settled submissions that the successor has not acknowledged; 0 before {@link startLeaving}. */
	get unreplicatedCount(): number {
		return this.#unreplicated?.size ?? 0;
	}

	/** Keys of the incarnations whose submissions this entry VM owns. */
	get ownedKeys(): readonly string[] {
		return this.#phase === 'passed-on' ? [] : [...this.#ownerships.keys()];
	}

	/** Issues an identifier with which the team can start one submission, on this entry VM or its successor. */
	issueIdentifier(team: string, now: number): string {
		this.#sequence += 1;
		return issueIdentifier(
			{...this.#self, team, sequence: this.#sequence},
			now,
		);
	}

	/** Whether this entry VM owns or has owned the submissions of an incarnation, until that ownership is evicted. */
	hasOwned(issuer: Incarnation): boolean {
		return this.#ownerships.has(incarnationKey(issuer));
	}

	/** Decides on one copy of a request, and records the submission as running if it is to start. */
	admit(
		identifier: string,
		team: string,
		shape: JobShape,
		now: number,
	): Admission {
		const admission = this.previewAdmission(identifier, team, now);
		if (admission.kind === 'start') {
			this.#running.set(identifier, {
				team,
				shape,
				at: undefined,
				sinceMs: now,
			});
			return admission;
		}

		return admission.kind === 'refuse' || this.#hasSameShape(identifier, shape)
			? admission
			: refuseReusedIdentifier();
	}

	/** Returns the decision of {@link admit} without recording a start or comparing the job's shape. */
	previewAdmission(identifier: string, team: string, now: number): Admission {
		const parsed = parseIdentifier(identifier);
		const owned = parsed && this.#ownerships.get(incarnationKey(parsed.issuer));
		if (
			parsed === undefined ||
			owned === undefined ||
			!isIssuedTo(identifier, owned.ownership.secret, team)
		) {
			return refuseUnknownIdentifier();
		}

		const settled = this.#settled.get(identifier);
		if (settled !== undefined) {
			return {kind: 'answer', answer: settled.answer};
		}

		if (this.#running.has(identifier)) {
			return {kind: 'join'};
		}

		const at = this.#runningElsewhere.get(identifier)?.at;
		if (at !== undefined) {
			return {kind: 'elsewhere', at};
		}

		if (this.#phase !== 'open') {
			return {kind: 'moved'};
		}

		return now > this.#lastStartAtMs(parsed.issuer, parsed.issuedAtMs)
			? refuseExpiredIdentifier()
			: {kind: 'start'};
	}

	/** Records the final answer of a submission; a second answer is ignored. */
	settle(
		identifier: string,
		team: string,
		answer: JobAnswer,
		now: number,
	): void {
		const shape = this.#running.get(identifier)?.shape;
		this.#running.delete(identifier);
		this.#recordSettled({identifier, team, shape, answer}, now);
	}

	/** Evicts expired records and ownerships, and the oldest outputs beyond the limit. */
	evictExpired(now: number): void {
		const isExpired = (identifier: string, sinceMs: number) =>
			now >= sinceMs + this.#limits.retentionMs &&
			this.#isPastStartWindow(identifier, now);
		for (const [identifier, record] of this.#settled) {
			if (!isExpired(identifier, record.settledAtMs)) {
				break;
			}

			this.#totalOutputLength -= record.outputLength;
			this.#identifiersWithOutputs.delete(identifier);
			this.#settled.delete(identifier);
		}

		for (const [identifier, {sinceMs}] of this.#runningElsewhere) {
			if (!isExpired(identifier, sinceMs)) {
				break;
			}

			this.#runningElsewhere.delete(identifier);
		}

		this.#evictOutputs();
		this.#evictOwnerships(now);
	}

	/** Marks all settled submissions for replication to a successor. From then on the store declines new hand-overs. */
	startLeaving(): void {
		this.#unreplicated = new Map(
			[...this.#settled].map(([identifier, {team, shape, answer}]) => [
				identifier,
				{identifier, team, shape, answer},
			]),
		);
	}

	/**
	 * Returns the oldest unreplicated settled submissions up to the given number and total length of outputs. A first
	 * submission that exceeds the length is returned alone.
	 */
	nextUnreplicated(
		maximumCount: number,
		maximumOutputLength: number,
	): readonly SettledSubmission[] {
		const batch: SettledSubmission[] = [];
		let batchOutputLength = 0;
		for (const [identifier, settled] of this.#unreplicated ?? []) {
			batchOutputLength += this.#settled.get(identifier)?.outputLength ?? 0;
			if (
				batch.length === maximumCount ||
				(batch.length > 0 && batchOutputLength > maximumOutputLength)
			) {
				break;
			}

			batch.push(settled);
		}

		return batch;
	}

	/** Records that the successor has acknowledged a batch. */
	markReplicated(batch: readonly SettledSubmission[]): void {
		for (const {identifier} of batch) {
			this.#unreplicated?.delete(identifier);
		}
	}

	/** Stops starting submissions and returns the hand-over for the successor. */
	beginHandOver(now: number): HandOver {
		this.#phase = 'closed';
		const {issuer} = this.#self;
		return {
			from: issuer,
			sentAtMs: now,
			ownerships: [...this.#ownerships.values()].map(
				({ownership}) => ownership,
			),
			running: [...this.#running, ...this.#runningElsewhere].map(
				([identifier, {team, shape, at = issuer}]) => ({
					identifier,
					team,
					shape,
					at,
				}),
			),
			settled: [...(this.#unreplicated?.values() ?? [])],
		};
	}

	/** Resumes starting submissions. Call only if the hand-over was not adopted and never will be. */
	abortHandOver(): void {
		this.#phase = 'open';
	}

	/** Gives up ownership after the successor has adopted the hand-over. */
	completeHandOver({settled}: HandOver): void {
		this.#phase = 'passed-on';
		this.markReplicated(settled);
	}

	/** Becomes the owner of the sender's submissions, or declines. Delayed and repeated hand-overs change nothing. */
	adoptHandOver(handOver: HandOver, now: number): HandOverReply {
		if (this.hasOwned(handOver.from)) {
			return 'adopted';
		}

		// If this clock is too far behind, an identifier whose record the sender has evicted could start again.
		const isClockBehind = handOver.sentAtMs > now + this.#limits.clockSkewMs;
		if (
			this.#unreplicated !== undefined ||
			isClockBehind ||
			this.#declinedSenders.has(incarnationKey(handOver.from))
		) {
			this.#declinedSenders.add(incarnationKey(handOver.from));
			return 'declined';
		}

		for (const ownership of handOver.ownerships) {
			this.#ownerships.set(incarnationKey(ownership.issuer), {
				ownership,
				sinceMs: now,
			});
		}

		this.adoptSettled(handOver.settled, now);
		for (const {identifier, ...running} of handOver.running) {
			if (!this.#settled.has(identifier)) {
				this.#runningElsewhere.set(identifier, {...running, sinceMs: now});
			}
		}

		return 'adopted';
	}

	/** Records the answers that an earlier owner, or one that is about to hand over, has replicated. */
	adoptSettled(settled: readonly SettledSubmission[], now: number): void {
		for (const submission of settled) {
			if (!this.#running.has(submission.identifier)) {
				this.#recordSettled(submission, now);
			}
		}
	}

	#recordSettled(submission: SettledSubmission, now: number): void {
		const {identifier, team, answer} = submission;
		if (this.#settled.has(identifier)) {
			return;
		}

		const shape =
			submission.shape ?? this.#runningElsewhere.get(identifier)?.shape;
		const outputLength = measureOutputLength(answer);
		this.#runningElsewhere.delete(identifier);
		this.#totalOutputLength += outputLength;
		this.#settled.set(identifier, {
			team,
			shape,
			answer,
			outputLength,
			settledAtMs: now,
		});
		if (outputLength > 0) {
			this.#identifiersWithOutputs.add(identifier);
		}

		this.#unreplicated?.set(identifier, {identifier, team, shape, answer});
	}

	#evictOutputs(): void {
		for (const identifier of this.#identifiersWithOutputs) {
			const record = this.#settled.get(identifier);
			if (this.#totalOutputLength <= this.#limits.answerBytes) {
				break;
			}

			this.#identifiersWithOutputs.delete(identifier);
			if (record !== undefined) {
				this.#totalOutputLength -= record.outputLength;
				this.#settled.set(identifier, withoutOutputs(record));
			}
		}
	}

	/** Evicts adopted ownerships whose identifiers can no longer start and have no retained record. */
	#evictOwnerships(now: number): void {
		const {startWindowMs, retentionMs, clockSkewMs} = this.#limits;
		for (const [key, {sinceMs}] of this.#ownerships) {
			// The issuer can issue identifiers for a while after its hand-over, hence twice the start window.
			if (now > sinceMs + 2 * (startWindowMs + clockSkewMs) + retentionMs) {
				this.#ownerships.delete(key);
			}
		}
	}

	/**
	 * Returns the last time at which an identifier can start, earlier by the clock skew for another issuer, whose clock
	 * may be ahead of this one.
	 */
	#lastStartAtMs(issuer: Incarnation, issuedAtMs: number): number {
		const isOwnClock =
			incarnationKey(issuer) === incarnationKey(this.#self.issuer);
		return (
			issuedAtMs +
			this.#limits.startWindowMs -
			(isOwnClock ? 0 : this.#limits.clockSkewMs)
		);
	}

	/** Whether no entry VM can start the identifier any more, including a later owner whose clock is behind this one. */
	#isPastStartWindow(identifier: string, now: number): boolean {
		const parsed = parseIdentifier(identifier);
		const {startWindowMs, clockSkewMs} = this.#limits;
		return (
			parsed === undefined ||
			now > parsed.issuedAtMs + startWindowMs + clockSkewMs
		);
	}

	#hasSameShape(identifier: string, shape: JobShape): boolean {
		const record =
			this.#settled.get(identifier) ??
			this.#running.get(identifier) ??
			this.#runningElsewhere.get(identifier);
		const recordedShape = record?.shape;
		return (
			recordedShape === undefined ||
			(recordedShape.entry === shape.entry &&
				recordedShape.taskCount === shape.taskCount)
		);
	}
}
