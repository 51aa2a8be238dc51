/** Keeps the catalogue current: reads the log at intervals, asks peers when that fails, and writes snapshots. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	SnapshotSchedule,
	type Snapshot,
	type SnapshotSettings,
} from '@verbenarouter/core';
import {type ProcessLogger} from './logger.js';
import {type CatalogueFollower} from './catalogue-follower.js';
import {type CatalogueRelay} from './catalogue-relay.js';
import {type Clock} from './clock.js';

/** Parts and settings of the loop. */
export type CatalogueLoopParts = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly clock: Clock;
	readonly logger: ProcessLogger;
	/** Name of this entry VM. */
	readonly author: string;
	/** Milliseconds between two reads of the log. */
	readonly readIntervalMs: number;
	readonly snapshots: SnapshotSettings;
	/** Gives numbers from 0 to 1. */
	readonly random: () => number;
};

/** Keeps the catalogue current until it is stopped. */
export class CatalogueLoop {
	readonly #parts: CatalogueLoopParts;
	readonly #schedule: SnapshotSchedule;
	readonly #stopping = new AbortController();
	#running: Promise<void> = Promise.resolve();
	#shownState = '';

	constructor(parts: CatalogueLoopParts) {
		this.#parts = parts;
		this.#schedule = new SnapshotSchedule(parts.snapshots, parts.random);
	}

	/** Starts the loop. */
	start(): void {
		this.#running = this.#run();
	}

	/** Stops the loop, and waits for the read that is under way. */
	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#running;
	}

	async #run(): Promise<void> {
		const {signal} = this.#stopping;
		while (!signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one read after the other
			await this.#turn();
			try {
				// eslint-disable-next-line no-await-in-loop
				await sleep(this.#parts.readIntervalMs, undefined, {signal});
			} catch {
				return;
			}
		}
	}

	async #turn(): Promise<void> {
		const {follower, relay} = this.#parts;
		await ((await follower.follow()) ? this.#writeSnapshot() : relay.askNext());

		const {status} = follower;
		if (status.state !== this.#shownState) {
			this.#shownState = status.state;
			if (status.state === 'current') {
				this.#parts.logger.info({event: 'catalogue', ...status});
			} else {
				this.#parts.logger.warn({event: 'catalogue', ...status});
			}
		}
	}

	async #writeSnapshot(): Promise<void> {
		const {follower, clock, logger, author} = this.#parts;
		const reason = this.#schedule.checkDue(follower.replay, clock());
		if (reason === undefined) {
			return;
		}

		const snapshot: Snapshot = {
			type: 'snapshot',
			...follower.catalogue.toSnapshot(),
			author,
			writtenAtMs: Math.floor(clock()),
		};
		// A lost answer is settled by reading: the schedule comes back to it only if the log shows no snapshot.
		const appended = await follower.append(snapshot);
		logger.info({
			event: 'snapshot',
			reason,
			upTo: snapshot.upTo,
			isAppended: appended.isOk(),
		});
		await follower.follow();
	}
}
