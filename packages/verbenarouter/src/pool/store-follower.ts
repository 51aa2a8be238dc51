/** Follows the desired state and the list of workers in the platform's store. */
import {
	WorkerDirectory,
	type DesiredState,
	type WorkerEntry,
} from '@verbenarouter/core';
import {
	decodeDesiredState,
	decodeWorker,
	type KeyedRecordPage,
	type StoreClient,
	type StoreFailure,
} from '@verbenarouter/platform';
import {type Result} from 'neverthrow';

/** Hears what is new. */
export type StoreListener = {
	stateRead(state: DesiredState): void;
	workersRead(): void;
	/** A record that names no worker, or an unreadable desired state. */
	recordIgnored(topic: string, key: string): void;
	/** The store answers again, or no longer. */
	reachChanged(isReachable: boolean, reason: string): void;
};

const stateTopic = 'keyed.op';
const stateKey = 'config';
const workersTopic = 'keyed.servers';
/** Longest wait for a new desired state in one read; short, so that a silent store is noticed. */
const stateWaitMs = 500;
/** Pause between two reads of the workers' records, which change several times a second. */
const workersPauseMs = 400;
/** Age of what is known from which entries may have lapsed and be missing for a while: a worker's entry lasts longer. */
const longAwayMs = 2000;
/** Pause after a failed read. */
const failurePauseMs = 200;

type Topic = {
	readonly name: string;
	nextOffset: number | undefined;
	isReading: boolean;
	nextReadAtMs: number;
};

/** Follows the platform's store while it is asked to. */
export class StoreFollower {
	readonly directory = new WorkerDirectory();
	#client: StoreClient;
	readonly #listener: StoreListener;
	readonly #now: () => number;
	readonly #topics: readonly Topic[] = [stateTopic, workersTopic].map(
		(name) => ({
			name,
			nextOffset: undefined,
			isReading: false,
			nextReadAtMs: 0,
		}),
	);

	#isActive = false;
	#isReachable = true;
	#lastReadMs = Number.NEGATIVE_INFINITY;
	/** The same for reads of its own, without what others have told. */
	#lastOwnReadMs = Number.NEGATIVE_INFINITY;

	constructor(client: StoreClient, listener: StoreListener, now: () => number) {
		this.#client = client;
		this.#listener = listener;
		this.#now = now;
	}

	/** Age in milliseconds of what is known of the store; infinite before the first read. */
	ageMs(now: number): number {
		return now - this.#lastReadMs;
	}

	/** Age in milliseconds of the last read of its own. */
	ownAgeMs(now: number): number {
		return now - this.#lastOwnReadMs;
	}

	/** Follows the store at another address from now on. */
	moveTo(client: StoreClient): void {
		this.#client.close();
		this.#client = client;
		for (const topic of this.#topics) {
			topic.nextOffset = undefined;
		}
	}

	/** Takes in what another entry VM has read of the store. */
	adopt(workers: readonly WorkerEntry[], ageMs: number, now: number): void {
		if (this.ageMs(now) > longAwayMs) {
			this.directory.storeReconnected(now);
		}

		this.directory.replaceAll(workers, now);
		this.#lastReadMs = now - ageMs;
	}

	/** Starts or stops following; what is known is kept. */
	setActive(isActive: boolean): void {
		if (isActive && !this.#isActive) {
			for (const topic of this.#topics) {
				topic.nextOffset = undefined;
				topic.nextReadAtMs = 0;
			}
		}

		this.#isActive = isActive;
	}

	/** Reads what is due. */
	tick(now: number): void {
		if (!this.#isActive) {
			return;
		}

		for (const topic of this.#topics) {
			if (!topic.isReading && now >= topic.nextReadAtMs) {
				void this.#read(topic);
			}
		}
	}

	async #read(topic: Topic): Promise<void> {
		topic.isReading = true;
		const isWhole = topic.nextOffset === undefined;
		const result =
			topic.nextOffset === undefined
				? await this.#client.readNewest(topic.name)
				: await this.#client.read(
						topic.name,
						topic.nextOffset,
						topic.name === stateTopic ? stateWaitMs : 0,
					);
		const now = this.#now();
		topic.isReading = false;
		topic.nextReadAtMs =
			now +
			(result.isErr()
				? failurePauseMs
				: topic.name === workersTopic
					? workersPauseMs
					: 0);
		this.#taken(topic, isWhole, result, now);
		this.tick(now);
	}

	#taken(
		topic: Topic,
		isWhole: boolean,
		result: Result<KeyedRecordPage, StoreFailure>,
		now: number,
	): void {
		if (result.isErr()) {
			if (result.error.code === 'expired') {
				topic.nextOffset = undefined;
				topic.nextReadAtMs = now;
			} else {
				this.#setReachable(false, result.error.message, now);
			}

			return;
		}

		this.#setReachable(true, topic.name, now);
		this.#lastReadMs = now;
		this.#lastOwnReadMs = now;
		topic.nextOffset = result.value.nextOffset;
		if (topic.name === stateTopic) {
			this.#takeStates(result.value);
		} else if (isWhole || result.value.records.length > 0) {
			this.#takeWorkers(result.value, isWhole, now);
		}
	}

	#takeStates({records}: KeyedRecordPage): void {
		for (const {key, value} of records) {
			if (key === stateKey && value !== undefined) {
				const state = decodeDesiredState(value);
				if (state === undefined) {
					this.#listener.recordIgnored(stateTopic, key);
				} else {
					this.#listener.stateRead(state);
				}
			}
		}
	}

	#takeWorkers({records}: KeyedRecordPage, isWhole: boolean, now: number): void {
		const decoded = records.map(({key, value}) => ({
			key,
			entry: value === undefined ? undefined : decodeWorker(key, value),
			isDropped: value === undefined,
		}));
		for (const {key, entry, isDropped} of decoded) {
			if (entry === undefined && !isDropped) {
				this.#listener.recordIgnored(workersTopic, key);
			}
		}

		if (isWhole) {
			this.directory.replaceAll(
				decoded.flatMap(({entry}): readonly WorkerEntry[] =>
					entry === undefined ? [] : [entry],
				),
				now,
			);
		} else {
			for (const {key, entry, isDropped} of decoded) {
				if (entry !== undefined) {
					this.directory.put(entry);
				} else if (isDropped) {
					this.directory.remove(key, now);
				}
			}
		}

		this.#listener.workersRead();
	}

	#setReachable(isReachable: boolean, reason: string, now: number): void {
		if (this.#isReachable !== isReachable) {
			this.#isReachable = isReachable;
			if (isReachable) {
				this.directory.storeReconnected(now);
			}

			this.#listener.reachChanged(isReachable, reason);
		}
	}
}
