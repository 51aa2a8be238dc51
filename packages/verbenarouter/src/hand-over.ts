/** The planned stop of an entry VM: what it owns goes to a successor before it leaves. */
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

/** The parts that a hand-over uses. */
export type HandOverParts = {
	readonly self: Incarnation;
	readonly memory: SubmissionStore;
	readonly mesh: () => PeerMesh;
	readonly clock: Clock;
	/** Hears of each step. */
	readonly log: (message: string, successor: string) => void;
};

/** What became of a hand-over that was under way: the successor owns, or this entry VM still does. */
export type HandOverDecision = 'passed-on' | 'reopened';

/** What is known of one hand-over. Only `declined` and `not-received` allow another successor. */
type HandOverOutcome = 'adopted' | 'declined' | 'not-received' | 'undecided';

const pollMs = 20;
const replyTimeoutMs = 1000;
const recordsPerMessage = 500;
const bytesPerMessage = 1_000_000;

/** Hands over to a successor, and then sends it the answers of what still runs here. */
export class HandOverSender {
	readonly #parts: HandOverParts;
	readonly #declinedBy = new Set<string>();
	#successor: Incarnation | undefined;
	#isDecided = Promise.resolve<HandOverDecision>('reopened');
	#isFinished = false;

	constructor(parts: HandOverParts) {
		this.#parts = parts;
	}

	/** The entry VM that has adopted what this one owned. */
	get successor(): string | undefined {
		return this.#successor?.entryVm;
	}

	/** Whether everything has been sent: what comes from now on would be lost. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Waits until the hand-over under way is decided; `undefined` when the wait was too long. */
	async decided(waitMs: number): Promise<HandOverDecision | undefined> {
		return withTimeout(this.#isDecided, waitMs);
	}

	/**
	 * Hands over and waits until everything has settled and been sent. With no peer in reach it waits only for what runs
	 * here. It gives up at `untilMs`, and does not end before `noticeUntilMs`.
	 */
	async run(noticeUntilMs: number, untilMs: number): Promise<void> {
		const {memory, mesh, clock} = this.#parts;
		memory.startLeaving();
		mesh().broadcastHello();
		/* eslint-disable no-await-in-loop -- one step after the other */
		while (clock() < untilMs) {
			const isDone = await this.#step(untilMs);
			if (
				isDone &&
				memory.localRunningCount === 0 &&
				clock() >= noticeUntilMs
			) {
				break;
			}

			if (isDone) {
				await sleep(pollMs);
			}
		}
		/* eslint-enable no-await-in-loop */

		this.#isFinished = true;
	}

	/** `true` when there is nothing to do now. */
	async #step(untilMs: number): Promise<boolean> {
		return this.#successor === undefined
			? !(await this.#handOver(untilMs))
			: this.#sendSettled();
	}

	/** One attempt; `false` when no peer is in reach. */
	async #handOver(untilMs: number): Promise<boolean> {
		const {memory, mesh, self} = this.#parts;
		const successor = chooseSuccessor(
			self.zone,
			[...mesh().peerHellos.values()].filter(
				({incarnation}) => !this.#declinedBy.has(incarnationKey(incarnation)),
			),
		)?.incarnation;
		if (successor === undefined) {
			return false;
		}

		memory.startLeaving();
		while (memory.unreplicatedCount > recordsPerMessage) {
			// eslint-disable-next-line no-await-in-loop -- the next batch follows the acknowledgement
			const isRecorded = await this.#sendBatch(successor);
			if (!isRecorded) {
				return this.#pause();
			}
		}

		await this.#passOn(successor, untilMs);
		return true;
	}

	async #pause(): Promise<true> {
		await sleep(pollMs);
		return true;
	}

	async #passOn(successor: Incarnation, untilMs: number): Promise<void> {
		const {memory, mesh, clock, log} = this.#parts;
		let decide: (decision: HandOverDecision) => void = () => undefined;
		this.#isDecided = new Promise((resolve) => {
			decide = resolve;
		});
		// Nothing is awaited between this and the first send.
		const handOver = memory.beginHandOver(clock());
		const outcome = await this.#untilDecided(handOver, successor, untilMs);
		log(`hand-over ${outcome}`, successor.entryVm);
		if (outcome === 'adopted') {
			memory.completeHandOver(handOver);
			this.#successor = successor;
			mesh().broadcastHello();
			decide('passed-on');
		} else if (outcome !== 'undecided') {
			if (outcome === 'declined') {
				this.#declinedBy.add(incarnationKey(successor));
			}

			memory.abortHandOver();
			decide('reopened');
			await sleep(pollMs);
		}
	}

	/** Asks the same process again until it is known what it did; another one could become a second owner. */
	async #untilDecided(
		handOver: HandOver,
		to: Incarnation,
		untilMs: number,
	): Promise<HandOverOutcome> {
		const {mesh, clock} = this.#parts;
		let mayBeAdopted = false;
		/* eslint-disable no-await-in-loop */
		while (clock() < untilMs) {
			const result = await mesh().request(
				to.entryVm,
				{kind: 'hand-over', to, handOver},
				replyTimeoutMs,
			);
			const reply = result.isOk() ? result.value.kind : result.error.code;
			if (reply === 'adopted' || this.#isHeldByPeer()) {
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
			await sleep(pollMs);
		}
		/* eslint-enable no-await-in-loop */

		return 'undecided';
	}

	#isHeldByPeer(): boolean {
		const {mesh, self} = this.#parts;
		const key = incarnationKey(self);
		return [...mesh().peerHellos.values()].some(({holds}) => holds.includes(key));
	}

	/** Sends what has settled since; `true` when nothing is left to send. */
	async #sendSettled(): Promise<boolean> {
		const {memory, mesh, self} = this.#parts;
		if (memory.unreplicatedCount === 0) {
			return true;
		}

		const key = incarnationKey(self);
		const holder = [...mesh().peerHellos.values()].find(({holds}) =>
			holds.includes(key),
		);
		const to = holder?.incarnation ?? this.#successor;
		if (to === undefined || !(await this.#sendBatch(to))) {
			await sleep(pollMs);
		}

		return false;
	}

	/** Sends some records; `false` unless this very process has acknowledged them. */
	async #sendBatch({entryVm, nonce}: Incarnation): Promise<boolean> {
		const {memory, mesh} = this.#parts;
		if (mesh().peerHellos.get(entryVm)?.incarnation.nonce !== nonce) {
			return false;
		}

		const settled = memory.nextUnreplicated(recordsPerMessage, bytesPerMessage);
		const result = await mesh().request(
			entryVm,
			{kind: 'records', settled},
			replyTimeoutMs,
		);
		const isRecorded = result.isOk() && result.value.kind === 'recorded';
		if (isRecorded) {
			memory.markReplicated(settled);
		}

		return isRecorded;
	}
}

/** Adopts what entry VMs that stop hand over. */
export class HandOverReceiver {
	readonly #parts: HandOverParts;
	readonly #sender: HandOverSender;

	constructor(parts: HandOverParts, sender: HandOverSender) {
		this.#parts = parts;
		this.#sender = sender;
	}

	/** Answers a peer that stops. */
	answer(
		request: Extract<PeerRequest, {kind: 'records' | 'hand-over'}>,
	): PeerReply {
		const {memory, mesh, self, clock, log} = this.#parts;
		const now = clock();
		if (request.kind === 'records') {
			if (this.#sender.isFinished) {
				return {kind: 'not-owner'};
			}

			memory.adoptSettled(request.settled, now);
			memory.evictExpired(now);
			return {kind: 'recorded'};
		}

		if (request.to.nonce !== self.nonce) {
			return {kind: 'not-owner'};
		}

		const kind = memory.adoptHandOver(request.handOver, now);
		mesh().broadcastHello();
		log(kind, request.handOver.from.entryVm);
		return {kind};
	}
}
