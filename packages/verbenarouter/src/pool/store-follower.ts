import {
	WorkerDirectory,
	type DesiredState,
	type EvacuationRead,
	type WorkerEntry,
} from '@verbenarouter/core';
import {
	decodeDesiredState,
	decodeEvacuations,
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
	/** Receives the operator's requests to evacuate zones that one read has returned. */
	onEvacuationsRead(read: EvacuationRead): void;
	/** Returns the position up to which the operator's requests are known here. */
	evacuationPosition(): number;
	/** Called after `directory` was updated from the store. */
	onWorkersRead(): void;
	/** Receives the topic and key of a record that is ignored: a malformed one, or a request for an unknown zone. */
	onRecordIgnored(topic: string, key: string): void;
	/** Called when the store becomes reachable or unreachable; `reason` is the topic that was read or the error. */
	onReachabilityChange(isReachable: boolean, reason: string): void;
};

/** What the list of a peer has changed here. */
export type PeerListEffect = 'replaced' | 'merged' | 'ignored';

/** The calls to the store that the follower makes. */
export type StoreReader = Pick<StoreClient, 'read' | 'readNewest' | 'close'>;

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
/** Time after an outage of the store within which workers register again; the platform specifies about two seconds. */
const reregistrationMs = 2500;
/** Largest number of ignored requests that are reported. */
const maxReportedKeys = 100;
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

/** What was known when a read was requested. */
type ReadStart = Pick<EvacuationRead, 'isSnapshot' | 'positionAtStart'> & {
	readonly startedAtMs: number;
};

/** Follows the desired state and the list of workers in the platform's store while active. */
export class StoreFollower {
	/** The workers, as read from the store or received from peers. */
	readonly directory = new WorkerDirectory();
	#client: StoreReader;
	readonly #listener: StoreListener;
	readonly #now: () => number;
	/** Names of all zones of the installation. */
	readonly #zones: readonly string[];
	/** Keys of ignored requests, each of which is reported once. */
	readonly #reportedKeys = new Set<string>();
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
	/**
	 * Time at which the newest list of workers was requested, by this process or by the peer whose list was applied. The answer
	 * may be read much later, and shows nothing newer. Reads of the desired state do not count: an entry VM that follows only
	 * this one has no list.
	 */
	#workersReadAtMs = Number.NEGATIVE_INFINITY;
	/** Time at which this process requested the list of workers that it last read. */
	#ownWorkersReadAtMs = Number.NEGATIVE_INFINITY;
	/** Time until which the list may lack living workers, as there was none when an outage of the store ended. */
	#isPartialUntilMs = Number.NEGATIVE_INFINITY;

	constructor(
		client: StoreReader,
		listener: StoreListener,
		zones: readonly string[],
		now: () => number,
	) {
		this.#client = client;
		this.#listener = listener;
		this.#zones = zones;
		this.#now = now;
	}

	/**
	 * Returns the age in milliseconds of the whole list of workers, read here or received from a peer; infinite if there is none,
	 * as in a process that knew no workers at the end of an outage of the store, until they can have registered again.
	 */
	workersAgeMs(now: number): number {
		return now < this.#isPartialUntilMs
			? Number.POSITIVE_INFINITY
			: now - this.#workersReadAtMs;
	}

	/** Returns the time in milliseconds since this process requested the list that it last read; infinite before the first read. */
	ownWorkersAgeMs(now: number): number {
		return now - this.#ownWorkersReadAtMs;
	}

	/** Whether the next read of the store returns a whole list of workers. */
	canReadWholeList(now: number): boolean {
		return this.#isReachable && now >= this.#isPartialUntilMs;
	}

	/** Whether the last read succeeded. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Has the list of workers read at the next tick, if it is followed. */
	requestWorkers(): void {
		for (const topic of this.#topics) {
			if (topic.name === workersTopic) {
				topic.nextReadAtMs = 0;
			}
		}
	}

	/** Replaces the client after the store's address has changed, and reads both topics anew. */
	setClient(client: StoreReader): void {
		this.#client.close();
		this.#client = client;
		for (const topic of this.#topics) {
			topic.nextOffset = undefined;
		}
	}

	/**
	 * Replaces the list of workers by the one that another entry VM has, which was read `ageMs` milliseconds ago, if that is
	 * newer. Shortly after the own first read, which may have been shortly after an outage of the store, an older list adds the
	 * workers whose entries have expired. `version` is the version that the sender gives it, empty if the sender has no list:
	 * the last build sends an empty list then.
	 */
	applyPeerWorkers(
		workers: readonly WorkerEntry[],
		{ageMs, version}: {readonly ageMs: number; readonly version?: string},
		now: number,
	): PeerListEffect {
		if (version === '') {
			return 'ignored';
		}

		if (ageMs >= this.workersAgeMs(now)) {
			return this.directory.addMissing(workers, now) ? 'merged' : 'ignored';
		}

		if (this.workersAgeMs(now) > expiredEntriesAgeMs) {
			this.directory.handleStoreReconnect(now);
		}

		this.directory.replaceAll(workers, now);
		this.#workersReadAtMs = now - ageMs;
		this.#isPartialUntilMs = Number.NEGATIVE_INFINITY;
		return 'replaced';
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
		const positionAtStart = this.#listener.evacuationPosition();
		const startedAtMs = this.#now();
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
		this.#handleResult(
			topic,
			{isSnapshot, positionAtStart, startedAtMs},
			result,
			now,
		);
		this.tick(now);
	}

	#handleResult(
		topic: Topic,
		{startedAtMs, ...readStart}: ReadStart,
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
		const {records, nextOffset, endOffset} = result.value;
		if (nextOffset < endOffset && records.length > 0) {
			topic.nextReadAtMs = now;
		} else if (topic.name === workersTopic) {
			if (this.#workersReadAtMs === Number.NEGATIVE_INFINITY) {
				this.directory.handleStoreReconnect(now);
			}

			this.#workersReadAtMs = Math.max(this.#workersReadAtMs, startedAtMs);
			this.#ownWorkersReadAtMs = startedAtMs;
		}

		topic.nextOffset = nextOffset;
		if (topic.name === stateTopic) {
			this.#handleStateRecords(result.value);
			this.#handleEvacuationRecords(result.value, readStart);
		} else if (readStart.isSnapshot || records.length > 0) {
			this.#handleWorkerRecords(result.value, readStart.isSnapshot, now);
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

	#handleEvacuationRecords(
		{records, nextOffset}: KeyedRecordPage,
		readStart: Pick<EvacuationRead, 'isSnapshot' | 'positionAtStart'>,
	): void {
		const {changes, unknownKeys} = decodeEvacuations(records, this.#zones);
		for (const key of unknownKeys) {
			if (
				!this.#reportedKeys.has(key) &&
				this.#reportedKeys.size < maxReportedKeys
			) {
				this.#reportedKeys.add(key);
				this.#listener.onRecordIgnored(stateTopic, key);
			}
		}

		this.#listener.onEvacuationsRead({
			...readStart,
			records: changes,
			endOffset: nextOffset,
		});
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
				if (this.#workersReadAtMs === Number.NEGATIVE_INFINITY) {
					this.#isPartialUntilMs = now + reregistrationMs;
				}
			}

			this.#listener.onReachabilityChange(isReachable, reason);
		}
	}
}
