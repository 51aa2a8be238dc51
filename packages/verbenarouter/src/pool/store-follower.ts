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

/** Callbacks of the follower. */
export type StoreListener = {
	/** Receives each desired state that is read, also one that was read before. */
	onStateRead(state: DesiredState): void;
	/** Called after `directory` was updated from the store. */
	onWorkersRead(): void;
	/** Receives the topic and key of a malformed worker record or desired state, which is ignored. */
	onRecordIgnored(topic: string, key: string): void;
	/** Called when the store becomes reachable or unreachable; `reason` is the topic that was read or the error. */
	onReachabilityChange(isReachable: boolean, reason: string): void;
};

/** Store topic and key of the desired state. */
const stateTopic = 'keyed.op';
const stateKey = 'config';
/** Store topic of the workers, keyed by worker identifier. */
const workersTopic = 'keyed.servers';
/** Longest time that one read waits for a new desired state; short, so that an unresponsive store is detected. */
const stateLongPollMs = 500;
/** Pause between two reads of the worker records, which change several times a second. */
const workersReadIntervalMs = 400;
/**
 * Age of the data from which worker entries may have expired and be missing until the workers register again; entries
 * live longer than this.
 */
const expiredEntriesAgeMs = 2000;
/** Delay after a failed read. */
const retryDelayMs = 200;

/** The read position of one topic. */
type Topic = {
	readonly name: string;
	/** Offset of the next read; `undefined` if the next read gets the newest record of each key. */
	nextOffset: number | undefined;
	isActive: boolean;
	isReading: boolean;
	nextReadAtMs: number;
};

/** Follows the desired state and the list of workers in the platform's store while active. */
export class StoreFollower {
	/** The workers, as read from the store or received from peers. */
	readonly directory = new WorkerDirectory();
	#client: StoreClient;
	readonly #listener: StoreListener;
	readonly #now: () => number;
	readonly #topics: readonly Topic[] = [stateTopic, workersTopic].map(
		(name) => ({
			name,
			nextOffset: undefined,
			isActive: false,
			isReading: false,
			nextReadAtMs: 0,
		}),
	);

	#isReachable = true;
	/** Time of the last successful read, by this process or by the peer whose workers were applied. */
	#dataReadAtMs = Number.NEGATIVE_INFINITY;
	/** Time of the last successful read by this process. */
	#ownDataReadAtMs = Number.NEGATIVE_INFINITY;

	constructor(client: StoreClient, listener: StoreListener, now: () => number) {
		this.#client = client;
		this.#listener = listener;
		this.#now = now;
	}

	/** Returns the age in milliseconds of the store's data, read here or received from a peer; infinite if there is none. */
	dataAgeMs(now: number): number {
		return now - this.#dataReadAtMs;
	}

	/** Returns the time in milliseconds since the last successful read by this process; infinite before the first. */
	ownDataAgeMs(now: number): number {
		return now - this.#ownDataReadAtMs;
	}

	/** Replaces the client after the store's address has changed, and reads both topics anew. */
	setClient(client: StoreClient): void {
		this.#client.close();
		this.#client = client;
		for (const topic of this.#topics) {
			topic.nextOffset = undefined;
		}
	}

	/** Replaces the worker list by the one that another entry VM has, which was read `ageMs` milliseconds ago. */
	applyPeerWorkers(
		workers: readonly WorkerEntry[],
		ageMs: number,
		now: number,
	): void {
		if (this.dataAgeMs(now) > expiredEntriesAgeMs) {
			this.directory.handleStoreReconnect(now);
		}

		this.directory.replaceAll(workers, now);
		this.#dataReadAtMs = now - ageMs;
	}

	/** Starts or stops following the desired state and the list of workers; data that was read is kept. */
	setActive(followsState: boolean, followsWorkers: boolean): void {
		for (const topic of this.#topics) {
			const isActive =
				topic.name === stateTopic ? followsState : followsWorkers;
			if (isActive && !topic.isActive) {
				topic.nextOffset = undefined;
				topic.nextReadAtMs = 0;
			}

			topic.isActive = isActive;
		}
	}

	/** Starts the reads that are due. */
	tick(now: number): void {
		for (const topic of this.#topics) {
			if (topic.isActive && !topic.isReading && now >= topic.nextReadAtMs) {
				void this.#read(topic);
			}
		}
	}

	async #read(topic: Topic): Promise<void> {
		topic.isReading = true;
		const isSnapshot = topic.nextOffset === undefined;
		const result =
			topic.nextOffset === undefined
				? await this.#client.readNewest(topic.name)
				: await this.#client.read(
						topic.name,
						topic.nextOffset,
						topic.name === stateTopic ? stateLongPollMs : 0,
					);
		const now = this.#now();
		topic.isReading = false;
		topic.nextReadAtMs =
			now +
			(result.isErr()
				? retryDelayMs
				: topic.name === workersTopic
					? workersReadIntervalMs
					: 0);
		this.#handleResult(topic, isSnapshot, result, now);
		this.tick(now);
	}

	#handleResult(
		topic: Topic,
		isSnapshot: boolean,
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
		this.#dataReadAtMs = now;
		this.#ownDataReadAtMs = now;
		topic.nextOffset = result.value.nextOffset;
		if (topic.name === stateTopic) {
			this.#handleStateRecords(result.value);
		} else if (isSnapshot || result.value.records.length > 0) {
			this.#handleWorkerRecords(result.value, isSnapshot, now);
		}
	}

	#handleStateRecords({records}: KeyedRecordPage): void {
		for (const {key, value} of records) {
			if (key === stateKey && value !== undefined) {
				const state = decodeDesiredState(value);
				if (state === undefined) {
					this.#listener.onRecordIgnored(stateTopic, key);
				} else {
					this.#listener.onStateRead(state);
				}
			}
		}
	}

	#handleWorkerRecords(
		{records}: KeyedRecordPage,
		isSnapshot: boolean,
		now: number,
	): void {
		const decoded = records.map(({key, value}) => ({
			key,
			entry: value === undefined ? undefined : decodeWorker(key, value),
			isDeleted: value === undefined,
		}));
		for (const {key, entry, isDeleted} of decoded) {
			if (entry === undefined && !isDeleted) {
				this.#listener.onRecordIgnored(workersTopic, key);
			}
		}

		if (isSnapshot) {
			this.directory.replaceAll(
				decoded.flatMap(({entry}): readonly WorkerEntry[] =>
					entry === undefined ? [] : [entry],
				),
				now,
			);
		} else {
			for (const {key, entry, isDeleted} of decoded) {
				if (entry !== undefined) {
					this.directory.put(entry);
				} else if (isDeleted) {
					this.directory.remove(key, now);
				}
			}
		}

		this.#listener.onWorkersRead();
	}

	#setReachable(isReachable: boolean, reason: string, now: number): void {
		if (this.#isReachable !== isReachable) {
			this.#isReachable = isReachable;
			if (isReachable) {
				this.directory.handleStoreReconnect(now);
			}

			this.#listener.onReachabilityChange(isReachable, reason);
		}
	}
}
