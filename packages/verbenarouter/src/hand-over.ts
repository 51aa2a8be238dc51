import {setTimeout as sleep} from 'node:timers/promises';
import {
	chooseSuccessor,
	incarnationKey,
	type HandOver,
	type Incarnation,
	type SubmissionStore,
} from '@verbenarouter/core';
import {
	withTimeout,
	type PeerMesh,
	type PeerReply,
	type PeerRequest,
} from '@verbenarouter/peer';
import {type Clock} from './clock.js';

/** Options of {@link HandOverSender} and {@link HandOverReceiver}. */
export type HandOverOptions = {
	readonly self: Incarnation;
	readonly store: SubmissionStore;
	readonly mesh: () => PeerMesh;
	readonly clock: Clock;
	/** Logs an event of a hand-over and the name of the other entry VM. */
	readonly log: (event: string, peer: string) => void;
};

/**
 * The decision on a hand-over.
 *
 * - `passed-on`: the successor owns the submissions.
 * - `reopened`: this entry VM still owns them and starts submissions again.
 */
export type HandOverDecision = 'passed-on' | 'reopened';

/**
 * The outcome of a hand-over to one successor. Only `declined` and `not-received` allow another successor.
 *
 * - `adopted`: the successor owns the submissions.
 * - `declined`: the successor has not adopted the hand-over and never will.
 * - `not-received`: no request reached the intended process.
 * - `undecided`: the deadline passed without a decision; the successor may have adopted the hand-over.
 */
type HandOverOutcome = 'adopted' | 'declined' | 'not-received' | 'undecided';

const pollIntervalMs = 20;
const replyTimeoutMs = 1000;
const maxRecordsPerMessage = 500;
const maxOutputLengthPerMessage = 1_000_000;

/**
 * Hands the submissions of a stopping entry VM over to a successor, then replicates to it the answers of those that
 * still run here.
 */
export class HandOverSender {
	readonly #options: HandOverOptions;
	/** Keys of the incarnations that have declined a hand-over. */
	readonly #declinedByKeys = new Set<string>();
	#successor: Incarnation | undefined;
	#decision = Promise.resolve<HandOverDecision>('reopened');
	#isFinished = false;

	constructor(options: HandOverOptions) {
		this.#options = options;
	}

	/** Name of the entry VM that has adopted this entry VM's submissions; `undefined` before the hand-over completes. */
	get successor(): string | undefined {
		return this.#successor?.entryVm;
	}

	/** Whether {@link handOverAndDrain} has ended, after which records received from peers would be lost. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Waits for the decision on the hand-over in progress or on the latest one; `undefined` after the timeout. */
	async waitForDecision(
		timeoutMs: number,
	): Promise<HandOverDecision | undefined> {
		return withTimeout(this.#decision, timeoutMs);
	}

	/**
	 * Hands over, and waits until every local submission has settled and the successor has acknowledged every answer. If
	 * no peer can become the successor, waits only for the local submissions. Gives up at `deadlineAtMs`, and does not
	 * end before `earliestEndMs`.
	 */
	async handOverAndDrain(
		earliestEndMs: number,
		deadlineAtMs: number,
	): Promise<void> {
		const {store, mesh, clock} = this.#options;
		store.startLeaving();
		mesh().broadcastHello();
		/* eslint-disable no-await-in-loop -- the steps run in sequence */
		while (clock() < deadlineAtMs) {
			const isIdle = await this.#step(deadlineAtMs);
			if (isIdle && store.localRunningCount === 0 && clock() >= earliestEndMs) {
				break;
			}

			if (isIdle) {
				await sleep(pollIntervalMs);
			}
		}
		/* eslint-enable no-await-in-loop */

		this.#isFinished = true;
	}

	/** Takes the next step; returns `true` if there is nothing to do at present. */
	async #step(deadlineAtMs: number): Promise<boolean> {
		return this.#successor === undefined
			? !(await this.#attemptHandOver(deadlineAtMs))
			: this.#sendUnreplicated();
	}

	/** Attempts one hand-over; returns `false` if no connected peer can become the successor. */
	async #attemptHandOver(deadlineAtMs: number): Promise<boolean> {
		const {store, mesh, self} = this.#options;
		const successor = chooseSuccessor(
			self.zone,
			[...mesh().peerHellos.values()].filter(
				({incarnation}) =>
					!this.#declinedByKeys.has(incarnationKey(incarnation)),
			),
		)?.incarnation;
		if (successor === undefined) {
			return false;
		}

		store.startLeaving();
		while (store.unreplicatedCount > maxRecordsPerMessage) {
			// eslint-disable-next-line no-await-in-loop -- the next batch follows the acknowledgement
			const isAcknowledged = await this.#sendBatch(successor);
			if (!isAcknowledged) {
				return this.#pauseBeforeRetry();
			}
		}

		await this.#transferOwnership(successor, deadlineAtMs);
		return true;
	}

	async #pauseBeforeRetry(): Promise<true> {
		await sleep(pollIntervalMs);
		return true;
	}

	async #transferOwnership(
		successor: Incarnation,
		deadlineAtMs: number,
	): Promise<void> {
		const {store, mesh, clock, log} = this.#options;
		let resolveDecision: (decision: HandOverDecision) => void = () => undefined;
		this.#decision = new Promise((resolve) => {
			resolveDecision = resolve;
		});
		// Nothing is awaited between `beginHandOver` and the first send, so the hand-over is current when it is sent.
		const handOver = store.beginHandOver(clock());
		const outcome = await this.#requestUntilDecided(
			handOver,
			successor,
			deadlineAtMs,
		);
		log(`hand-over ${outcome}`, successor.entryVm);
		if (outcome === 'adopted') {
			store.completeHandOver(handOver);
			this.#successor = successor;
			mesh().broadcastHello();
			resolveDecision('passed-on');
		} else if (outcome !== 'undecided') {
			if (outcome === 'declined') {
				this.#declinedByKeys.add(incarnationKey(successor));
			}

			store.abortHandOver();
			resolveDecision('reopened');
			await sleep(pollIntervalMs);
		}
	}

	/**
	 * Repeats the request to the same process until its decision is known. Another process could become a second owner
	 * while this one may have adopted the hand-over.
	 */
	async #requestUntilDecided(
		handOver: HandOver,
		to: Incarnation,
		deadlineAtMs: number,
	): Promise<HandOverOutcome> {
		const {mesh, clock} = this.#options;
		let mayBeAdopted = false;
		/* eslint-disable no-await-in-loop */
		while (clock() < deadlineAtMs) {
			const result = await mesh().request(
				to.entryVm,
				{kind: 'hand-over', to, handOver},
				replyTimeoutMs,
			);
			const reply = result.isOk() ? result.value.kind : result.error.code;
			if (reply === 'adopted' || this.#isOwnedByPeer()) {
				return 'adopted';
			}

			if (reply === 'declined') {
				return reply;
			}

			const isNotReceived = reply === 'not-sent' || reply === 'not-owner';
			if (isNotReceived && !mayBeAdopted) {
				return 'not-received';
			}

			mayBeAdopted = true;
			await sleep(pollIntervalMs);
		}
		/* eslint-enable no-await-in-loop */

		return 'undecided';
	}

	#isOwnedByPeer(): boolean {
		const {mesh, self} = this.#options;
		const key = incarnationKey(self);
		return [...mesh().peerHellos.values()].some(({holds}) =>
			holds.includes(key),
		);
	}

	/** Sends a batch of unreplicated settled submissions; returns `true` if there are none. */
	async #sendUnreplicated(): Promise<boolean> {
		const {store, mesh, self} = this.#options;
		if (store.unreplicatedCount === 0) {
			return true;
		}

		const key = incarnationKey(self);
		const owner = [...mesh().peerHellos.values()].find(({holds}) =>
			holds.includes(key),
		);
		const to = owner?.incarnation ?? this.#successor;
		if (to === undefined || !(await this.#sendBatch(to))) {
			await sleep(pollIntervalMs);
		}

		return false;
	}

	/** Sends a batch of settled submissions; returns `true` only if exactly this incarnation has acknowledged it. */
	async #sendBatch({entryVm, nonce}: Incarnation): Promise<boolean> {
		const {store, mesh} = this.#options;
		if (mesh().peerHellos.get(entryVm)?.incarnation.nonce !== nonce) {
			return false;
		}

		const settled = store.nextUnreplicated(
			maxRecordsPerMessage,
			maxOutputLengthPerMessage,
		);
		const result = await mesh().request(
			entryVm,
			{kind: 'records', settled},
			replyTimeoutMs,
		);
		const isAcknowledged = result.isOk() && result.value.kind === 'recorded';
		if (isAcknowledged) {
			store.markReplicated(settled);
		}

		return isAcknowledged;
	}
}

/** Adopts the submissions and records of entry VMs that stop. */
export class HandOverReceiver {
	readonly #options: HandOverOptions;
	readonly #sender: HandOverSender;

	constructor(options: HandOverOptions, sender: HandOverSender) {
		this.#options = options;
		this.#sender = sender;
	}

	/** Answers a request of a stopping peer. */
	answer(
		request: Extract<PeerRequest, {kind: 'records' | 'hand-over'}>,
	): PeerReply {
		const {store, mesh, self, clock, log} = this.#options;
		const now = clock();
		if (request.kind === 'records') {
			if (this.#sender.isFinished) {
				return {kind: 'not-owner'};
			}

			store.adoptSettled(request.settled, now);
			store.evictExpired(now);
			return {kind: 'recorded'};
		}

		if (request.to.nonce !== self.nonce) {
			return {kind: 'not-owner'};
		}

		const kind = store.adoptHandOver(request.handOver, now);
		mesh().broadcastHello();
		log(kind, request.handOver.from.entryVm);
		return {kind};
	}
}
