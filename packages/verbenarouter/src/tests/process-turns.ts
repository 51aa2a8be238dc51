import {type Random} from '@verbenarouter/core';
import {type EventQueue} from '../../../core/dist/tests/model-parts.js';

type WaitingRead = {readonly stream: string; readonly run: () => void};

/**
 * The event loop of a process that stands still at times: between two turns, or within one, so that what the turn sends leaves
 * later than it was decided. What arrives meanwhile is read stream by stream, before or after the overdue timers.
 */
export class ProcessTurns {
	#standsUntilMs = 0;
	#waitingReads: readonly WaitingRead[] = [];
	#waitingTimers: ReadonlyArray<() => void> = [];
	#planned:
		| {
				readonly durationMs: number;
				readonly sendsBefore: number;
				readonly isStart: boolean;
		  }
		| undefined;

	constructor(
		readonly events: EventQueue,
		readonly random: Random,
	) {}

	/** Lets the process stand still from now on. */
	stand(durationMs: number): void {
		this.#standsUntilMs = Math.max(
			this.#standsUntilMs,
			this.events.now + durationMs,
		);
	}

	/**
	 * Lets the process stand still within a turn, before it sends the message or command after the next `sendsBefore`; with
	 * `isStart`, before it sends the next start command.
	 */
	standBeforeSend(
		durationMs: number,
		sendsBefore: number,
		isStart = false,
	): void {
		this.#planned = {durationMs, sendsBefore, isStart};
	}

	/** Returns the time in milliseconds until what the process sends now leaves. */
	takeSendDelayMs(isStart: boolean): number {
		if (this.#planned !== undefined && (isStart || !this.#planned.isStart)) {
			const {durationMs, sendsBefore} = this.#planned;
			if (sendsBefore > 0) {
				this.#planned = {...this.#planned, sendsBefore: sendsBefore - 1};
			} else {
				this.#planned = undefined;
				this.stand(durationMs);
			}
		}

		return Math.max(0, this.#standsUntilMs - this.events.now);
	}

	/** Calls the handler of a timer, or of a message on a stream, now or once the process goes on. */
	handle(run: () => void, stream?: string): void {
		if (this.events.now >= this.#standsUntilMs) {
			run();
			return;
		}

		if (this.#waitingReads.length + this.#waitingTimers.length === 0) {
			this.#scheduleWaking();
		}

		if (stream === undefined) {
			this.#waitingTimers = [...this.#waitingTimers, run];
		} else {
			this.#waitingReads = [...this.#waitingReads, {stream, run}];
		}
	}

	#scheduleWaking(): void {
		this.events.add(this.#standsUntilMs, () => {
			this.#wake();
		});
	}

	#wake(): void {
		if (this.events.now < this.#standsUntilMs) {
			this.#scheduleWaking();
			return;
		}

		const timers = this.#waitingTimers;
		// Streams are read in the order in which they became readable, each to its end.
		const streams = new Set(this.#waitingReads.map(({stream}) => stream));
		const reads = [...streams].flatMap((stream) =>
			this.#waitingReads.filter((read) => read.stream === stream),
		);
		this.#waitingTimers = [];
		this.#waitingReads = [];
		if (this.random() < 0.5) {
			this.#handleTimers(timers);
			this.#handleReads(reads);
			return;
		}

		this.#handleReads(reads);
		// What the messages have asked for runs first.
		this.events.add(this.events.now, () => {
			this.#handleTimers(timers);
		});
	}

	#handleTimers(timers: ReadonlyArray<() => void>): void {
		for (const run of timers) {
			this.handle(run);
		}
	}

	#handleReads(reads: readonly WaitingRead[]): void {
		for (const {run, stream} of reads) {
			this.handle(run, stream);
		}
	}
}
