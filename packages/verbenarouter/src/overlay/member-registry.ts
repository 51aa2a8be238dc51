import {type Member, type MemberAddress} from '@verbenarouter/core';
import {
	nonNegativeField,
	parseJsonObject,
	stringField,
	type KeyedRecord,
	type StoreClient,
} from '@verbenarouter/platform';

/** Callbacks of the registry. */
export type RegistryListener = {
	/** Receives the other recorded entry VMs; many of them may no longer exist. */
	onMembersRead(members: readonly MemberAddress[]): void;
	/** Receives the error of a failed store call, which is retried. */
	onFailure(message: string): void;
};

/** Store topic of the entry VMs' addresses, keyed by name. */
const membersTopic = 'keyed.entry-vms';
/** Delay before a failed call is retried; long, since seeds and peers supply the same addresses. */
const retryMs = 1000;

/**
 * The addresses of entry VMs in the platform's store, with which entry VMs find each other when all of them start at
 * once.
 */
export class MemberRegistry {
	readonly #self: Member;
	readonly #listener: RegistryListener;
	#client: StoreClient;

	constructor(self: Member, client: StoreClient, listener: RegistryListener) {
		this.#self = self;
		this.#client = client;
		this.#listener = listener;
	}

	/** Replaces the client after the store's address has changed. */
	setClient(client: StoreClient): void {
		this.#client = client;
	}

	/** Reads the recorded entry VMs, and records this one if it is missing or has moved; retries until both succeed. */
	async register(): Promise<void> {
		const read = await this.#client.readNewest(membersTopic);
		if (read.isErr()) {
			this.#retry(read.error.message);
			return;
		}

		const members = read.value.records.flatMap((record) => decode(record));
		this.#listener.onMembersRead(
			members.filter(({name}) => name !== this.#self.name),
		);
		const {name, zone, address, processorShare} = this.#self;
		const isRecorded = members.some(
			(member) =>
				member.name === name &&
				member.zone === zone &&
				member.address === address &&
				member.processorShare === processorShare,
		);
		if (isRecorded) {
			return;
		}

		const written = await this.#client.append(
			membersTopic,
			name,
			JSON.stringify({zone, address, processorShare}),
		);
		if (written.isErr()) {
			this.#retry(written.error.message);
			return;
		}

		// If two entry VMs start at once, the one that is recorded later reads the address of the other.
		await this.register();
	}

	#retry(message: string): void {
		this.#listener.onFailure(message);
		setTimeout(() => {
			void this.register();
		}, retryMs);
	}
}

/** Decodes a record; returns an empty list for a deleted or malformed one. */
function decode({key, value}: KeyedRecord): readonly MemberAddress[] {
	const record = value === undefined ? undefined : parseJsonObject(value);
	const zone = record === undefined ? undefined : stringField(record, 'zone');
	const address =
		record === undefined ? undefined : stringField(record, 'address');
	if (record === undefined || zone === undefined || address === undefined) {
		return [];
	}

	const processorShare = nonNegativeField(record, 'processorShare');
	return [
		{
			name: key,
			zone,
			address,
			...(processorShare === undefined ? {} : {processorShare}),
		},
	];
}
