/**
 * What an owner remembers of the submissions whose identifiers it issued or took over.
 *
 * A record is kept at least until its identifier can no longer start anywhere, so that a copy of a request either finds
 * the record or is too old to start. Nothing here is agreed with anyone: only the holder of an identifier's secret admits it.
 */
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
	identifierExpired,
	identifierReused,
	identifierUnknown,
	sizeOf,
	withoutOutputs,
	type Admission,
	type MemoryLimits,
	type RunningRecord,
	type SettledRecord,
} from './submission-record.js';

/**
 * - `open`: starts submissions.
 * - `closed`: a hand-over may have been received; starts nothing.
 * - `passed-on`: the successor has confirmed; starts nothing and holds nothing.
 */
type Phase = 'open' | 'closed' | 'passed-on';

/** The submissions that one entry VM owns. */
export class SubmissionMemory {
	readonly #self: Ownership;
	readonly #limits: MemoryLimits;
	readonly #ownerships = new Map<
		string,
		{readonly ownership: Ownership; readonly sinceMs: number}
	>();

	readonly #running = new Map<string, RunningRecord>();
	/** Running ones of earlier owners, in the order of their adoption. */
	readonly #elsewhere = new Map<string, RunningRecord>();
	/** In the order of settling, which forgetting relies on. */
	readonly #settled = new Map<string, SettledRecord>();
	/** Identifiers of settled submissions whose outputs are kept, oldest first. */
	readonly #withOutputs = new Set<string>();
	/** Settled submissions that the successor does not have yet; `undefined` until this entry VM leaves. */
	#unshared: Map<string, SettledSubmission> | undefined;
	/** Senders of declined hand-overs: each may have found another successor since. */
	readonly #declined = new Set<string>();
	#phase: Phase = 'open';
	#sequence = 0;
	#answerBytes = 0;

	constructor(self: Ownership, limits: MemoryLimits) {
		this.#self = self;
		this.#limits = limits;
		this.#ownerships.set(incarnationKey(self.issuer), {
			ownership: self,
			sinceMs: Number.POSITIVE_INFINITY,
		});
	}

	/** Submissions that are remembered. */
	get size(): number {
		return this.#running.size + this.#elsewhere.size + this.#settled.size;
	}

	/** Submissions that run here. */
	get runningHere(): number {
		return this.#running.size;
	}

	/** Settled submissions that the successor does not have yet. */
	get unsharedCount(): number {
		return this.#unshared?.size ?? 0;
	}

	/** Keys of the incarnations whose submissions this entry VM may start. */
	get holds(): readonly string[] {
		return this.#phase === 'passed-on' ? [] : [...this.#ownerships.keys()];
	}

	/** Issues an identifier under which the team may start one submission, here or at the successor. */
	issue(team: string, now: number): string {
		this.#sequence += 1;
		return issueIdentifier(
			{...this.#self, team, sequence: this.#sequence},
			now,
		);
	}

	/** Whether this entry VM owns, or has owned, the submissions of an incarnation. */
	knows(issuer: Incarnation): boolean {
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
		if (known.kind === 'start') {
			this.#running.set(identifier, {
				team,
				shape,
				at: undefined,
				sinceMs: now,
			});
			return known;
		}

		return known.kind === 'refuse' || this.#isSameShape(identifier, shape)
			? known
			: identifierReused();
	}

	/** What {@link admit} would decide, without recording anything. */
	lookUp(identifier: string, team: string, now: number): Admission {
		const parsed = parseIdentifier(identifier);
		const held = parsed && this.#ownerships.get(incarnationKey(parsed.issuer));
		if (
			parsed === undefined ||
			held === undefined ||
			!isIssuedTo(identifier, held.ownership.secret, team)
		) {
			return identifierUnknown();
		}

		const settled = this.#settled.get(identifier);
		if (settled !== undefined) {
			return {kind: 'answer', answer: settled.answer};
		}

		if (this.#running.has(identifier)) {
			return {kind: 'join'};
		}

		const at = this.#elsewhere.get(identifier)?.at;
		if (at !== undefined) {
			return {kind: 'elsewhere', at};
		}

		if (this.#phase !== 'open') {
			return {kind: 'moved'};
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
		const shape = this.#running.get(identifier)?.shape;
		this.#running.delete(identifier);
		this.#record({identifier, team, shape, answer}, now);
	}

	/** Drops what need not be remembered any longer, and the outputs of the oldest answers beyond the byte limit. */
	forget(now: number): void {
		const isOver = (identifier: string, sinceMs: number) =>
			now >= sinceMs + this.#limits.retentionMs &&
			this.#cannotStartAnywhere(identifier, now);
		for (const [identifier, record] of this.#settled) {
			if (!isOver(identifier, record.settledAtMs)) {
				break;
			}

			this.#answerBytes -= record.answerBytes;
			this.#withOutputs.delete(identifier);
			this.#settled.delete(identifier);
		}

		for (const [identifier, {sinceMs}] of this.#elsewhere) {
			if (!isOver(identifier, sinceMs)) {
				break;
			}

			this.#elsewhere.delete(identifier);
		}

		this.#dropOutputs();
		this.#dropOwnerships(now);
	}

	/** Begins to collect what the successor needs. From now on no hand-over is adopted here. */
	startLeaving(): void {
		this.#unshared = new Map(
			[...this.#settled].map(([identifier, {team, shape, answer}]) => [
				identifier,
				{identifier, team, shape, answer},
			]),
		);
	}

	/** Some of the settled submissions that the successor does not have yet. */
	nextUnshared(count: number, bytes: number): readonly SettledSubmission[] {
		const batch: SettledSubmission[] = [];
		let batchBytes = 0;
		for (const [identifier, settled] of this.#unshared ?? []) {
			batchBytes += this.#settled.get(identifier)?.answerBytes ?? 0;
			if (batch.length === count || (batch.length > 0 && batchBytes > bytes)) {
				break;
			}

			batch.push(settled);
		}

		return batch;
	}

	/** Records that the successor has these. */
	markShared(batch: readonly SettledSubmission[]): void {
		for (const {identifier} of batch) {
			this.#unshared?.delete(identifier);
		}
	}

	/** Stops starting submissions, and gives what makes the successor their owner. */
	close(now: number): HandOver {
		this.#phase = 'closed';
		const {issuer} = this.#self;
		return {
			from: issuer,
			sentAtMs: now,
			ownerships: [...this.#ownerships.values()].map(
				({ownership}) => ownership,
			),
			running: [...this.#running, ...this.#elsewhere].map(
				([identifier, {team, shape, at = issuer}]) => ({
					identifier,
					team,
					shape,
					at,
				}),
			),
			settled: [...(this.#unshared?.values() ?? [])],
		};
	}

	/** Starts submissions again. Only for a hand-over that surely was not and never will be adopted. */
	reopen(): void {
		this.#phase = 'open';
	}

	/** Records that the successor has adopted the hand-over. */
	passOn({settled}: HandOver): void {
		this.#phase = 'passed-on';
		this.markShared(settled);
	}

	/** Takes the place of an owner that starts nothing more. Delayed and repeated hand-overs change nothing. */
	adopt(handOver: HandOver, now: number): HandOverReply {
		if (this.knows(handOver.from)) {
			return 'adopted';
		}

		// A clock behind the sender's could start again what the sender has already forgotten.
		const isBehind = handOver.sentAtMs > now + this.#limits.clockSkewMs;
		if (
			this.#unshared !== undefined ||
			isBehind ||
			this.#declined.has(incarnationKey(handOver.from))
		) {
			this.#declined.add(incarnationKey(handOver.from));
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
				this.#elsewhere.set(identifier, {...running, sinceMs: now});
			}
		}

		return 'adopted';
	}

	/** Records answers that an earlier owner, or one that is about to hand over, has given. */
	adoptSettled(settled: readonly SettledSubmission[], now: number): void {
		for (const submission of settled) {
			if (!this.#running.has(submission.identifier)) {
				this.#record(submission, now);
			}
		}
	}

	#record(submission: SettledSubmission, now: number): void {
		const {identifier, team, answer} = submission;
		if (this.#settled.has(identifier)) {
			return;
		}

		const shape = submission.shape ?? this.#elsewhere.get(identifier)?.shape;
		const answerBytes = sizeOf(answer);
		this.#elsewhere.delete(identifier);
		this.#answerBytes += answerBytes;
		this.#settled.set(identifier, {
			team,
			shape,
			answer,
			answerBytes,
			settledAtMs: now,
		});
		if (answerBytes > 0) {
			this.#withOutputs.add(identifier);
		}

		this.#unshared?.set(identifier, {identifier, team, shape, answer});
	}

	#dropOutputs(): void {
		for (const identifier of this.#withOutputs) {
			const record = this.#settled.get(identifier);
			if (this.#answerBytes <= this.#limits.answerBytes) {
				break;
			}

			this.#withOutputs.delete(identifier);
			if (record !== undefined) {
				this.#answerBytes -= record.answerBytes;
				this.#settled.set(identifier, withoutOutputs(record));
			}
		}
	}

	/** Drops adopted ownerships none of whose identifiers can start or be remembered any more. */
	#dropOwnerships(now: number): void {
		const {startWindowMs, retentionMs, clockSkewMs} = this.#limits;
		for (const [key, {sinceMs}] of this.#ownerships) {
			// The issuer may issue for a while after its hand-over, hence twice the window.
			if (now > sinceMs + 2 * (startWindowMs + clockSkewMs) + retentionMs) {
				this.#ownerships.delete(key);
			}
		}
	}

	/** A clock that is not the issuer's may be behind it, so that such an identifier ends earlier. */
	#lastStartAt(issuer: Incarnation, issuedAtMs: number): number {
		const isOwnClock =
			incarnationKey(issuer) === incarnationKey(this.#self.issuer);
		return (
			issuedAtMs +
			this.#limits.startWindowMs -
			(isOwnClock ? 0 : this.#limits.clockSkewMs)
		);
	}

	/** A later owner's clock may be behind this one, so that records outlive the start window by the skew. */
	#cannotStartAnywhere(identifier: string, now: number): boolean {
		const parsed = parseIdentifier(identifier);
		const {startWindowMs, clockSkewMs} = this.#limits;
		return (
			parsed === undefined ||
			now > parsed.issuedAtMs + startWindowMs + clockSkewMs
		);
	}

	#isSameShape(identifier: string, shape: JobShape): boolean {
		const record =
			this.#settled.get(identifier) ??
			this.#running.get(identifier) ??
			this.#elsewhere.get(identifier);
		const known = record?.shape;
		return (
			known === undefined ||
			(known.entry === shape.entry && known.taskCount === shape.taskCount)
		);
	}
}
