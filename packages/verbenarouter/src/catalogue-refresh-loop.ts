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

/** Options of {@link CatalogueRefreshLoop}. */
export type CatalogueRefreshLoopOptions = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly clock: Clock;
	readonly logger: ProcessLogger;
	/** Name of this entry VM, recorded in the snapshots that it writes. */
	readonly author: string;
	/** Pause in milliseconds between two reads of the log. */
	readonly readIntervalMs: number;
	readonly snapshots: SnapshotSettings;
	/** Returns numbers from 0 to 1. */
	readonly random: () => number;
};

/**
 * Keeps the catalogue current until it is stopped: reads the log at intervals and writes due snapshots, or requests the
 * catalogue from a peer if the read fails.
 */
export class CatalogueRefreshLoop {
	readonly #options: CatalogueRefreshLoopOptions;
	readonly #snapshotSchedule: SnapshotSchedule;
	readonly #abortController = new AbortController();
	#running: Promise<void> = Promise.resolve();
	#loggedState = '';

	constructor(options: CatalogueRefreshLoopOptions) {
		this.#options = options;
		this.#snapshotSchedule = new SnapshotSchedule(
			options.snapshots,
			options.random,
		);
	}

	/** Starts the loop. */
	start(): void {
		this.#running = this.#run();
	}

	/** Stops the loop and waits for the read in progress. */
	async stop(): Promise<void> {
		this.#abortController.abort();
		await this.#running;
	}

	async #run(): Promise<void> {
		const {signal} = this.#abortController;
		while (!signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- the reads run in sequence
			await this.#refresh();
			try {
				// eslint-disable-next-line no-await-in-loop
				await sleep(this.#options.readIntervalMs, undefined, {signal});
			} catch {
				return;
			}
		}
	}

	async #refresh(): Promise<void> {
		const {follower, relay} = this.#options;
		await ((await follower.catchUp())
			? this.#writeDueSnapshot()
			: relay.updateFromNextPeer());

		const {status} = follower;
		if (status.state !== this.#loggedState) {
			this.#loggedState = status.state;
			if (status.state === 'current') {
				this.#options.logger.info({event: 'catalogue', ...status});
			} else {
				this.#options.logger.warn({event: 'catalogue', ...status});
			}
		}
	}

	async #writeDueSnapshot(): Promise<void> {
		const {follower, clock, logger, author} = this.#options;
		const reason = this.#snapshotSchedule.checkDue(follower.replay, clock());
		if (reason === undefined) {
			return;
		}

		const snapshot: Snapshot = {
			type: 'snapshot',
			...follower.catalogue.toSnapshot(),
			author,
			writtenAtMs: Math.floor(clock()),
		};
		// If the reply to the append is lost, the read below finds the snapshot. The schedule retries only if it does not.
		const appended = await follower.append(snapshot);
		logger.info({
			event: 'snapshot',
			reason,
			upTo: snapshot.upTo,
			isAppended: appended.isOk(),
		});
		await follower.catchUp();
	}
}
