import {type PoolMessage} from './pool-message.js';

/** Type of a counted message: that of a {@link PoolMessage}, or one of its transport. */
export type PoolTrafficType =
	PoolMessage['type'] | 'acknowledgement' | 'batch' | 'unknown';

/** Messages of one type in one direction. */
export type PoolTrafficCount = {
	readonly type: PoolTrafficType;
	readonly direction: 'sent' | 'received';
	readonly messages: number;
	readonly bytes: number;
	/** Milliseconds spent on encoding what was sent, or on handling what was received. */
	readonly tookMs: number;
};

/** Why an entry VM closed one of its streams to another. */
export type LinkCloseCause = 'silent' | 'broken' | 'ended' | 'removed';

/** A record, so that the compiler checks that each type of message is listed. */
const isKnownType: Readonly<Record<PoolTrafficType, true>> = {
	heartbeat: true,
	submit: true,
	answer: true,
	progress: true,
	resubmit: true,
	untouched: true,
	'lost-runs': true,
	'caller-lost': true,
	'caller-returned': true,
	'cancelled-jobs': true,
	'left-jobs': true,
	'returnable-jobs': true,
	'returnable-jobs-noted': true,
	cancel: true,
	ask: true,
	reply: true,
	knowledge: true,
	learned: true,
	'hand-over': true,
	acknowledgement: true,
	batch: true,
	unknown: true,
};

/** Counts the messages between this entry VM and the others; the number of counters is bounded. */
export class PoolTraffic {
	readonly #counts = new Map<string, PoolTrafficCount>();
	readonly #unsentCounts = new Map<string, number>();
	readonly #closedLinks = new Map<LinkCloseCause, number>();

	/** Counts messages of one type. The type of a received message is not validated, so others count as `unknown`. */
	add(
		direction: PoolTrafficCount['direction'],
		type: string,
		change: Partial<Pick<PoolTrafficCount, 'messages' | 'bytes' | 'tookMs'>>,
	): void {
		const knownType = Object.hasOwn(isKnownType, type)
			? (type as PoolTrafficType)
			: 'unknown';
		const key = `${direction} ${knownType}`;
		const count = this.#counts.get(key);
		this.#counts.set(key, {
			type: knownType,
			direction,
			messages: (count?.messages ?? 0) + (change.messages ?? 0),
			bytes: (count?.bytes ?? 0) + (change.bytes ?? 0),
			tookMs: (count?.tookMs ?? 0) + (change.tookMs ?? 0),
		});
	}

	/** Counts a message of one type that could not be sent because no stream to its recipient was open. */
	addUnsent(type: PoolMessage['type']): void {
		this.#unsentCounts.set(type, (this.#unsentCounts.get(type) ?? 0) + 1);
	}

	/** Counts a stream to another entry VM that this one has closed. */
	addClosedLink(cause: LinkCloseCause): void {
		this.#closedLinks.set(cause, (this.#closedLinks.get(cause) ?? 0) + 1);
	}

	/** Returns the present counts by type and direction. */
	get counts(): readonly PoolTrafficCount[] {
		return [...this.#counts.values()];
	}

	/** Returns the number of messages that could not be sent at once, by type. */
	get unsentCounts(): ReadonlyMap<string, number> {
		return this.#unsentCounts;
	}

	/** Returns the number of streams closed by this entry VM so far, by cause. */
	get closedLinks(): ReadonlyMap<LinkCloseCause, number> {
		return this.#closedLinks;
	}
}
