/** Addresses of entry VMs in the platform's store, so that they find each other when all of them start at once. */
import {type MemberAddress} from '@verbenarouter/core';
import {
	parseJsonObject,
	stringField,
	type KeyedRecord,
	type StoreClient,
} from '@verbenarouter/platform';

/** Hears what the registry holds. */
export type RegistryListener = {
	/** Entry VMs that were recorded at some time; many of them may be gone. */
	membersRead(members: readonly MemberAddress[]): void;
	/** A call failed; it is made again. */
	failed(message: string): void;
};

const topic = 'keyed.entry-vms';
/** Milliseconds between two attempts while the store does not answer; rare, since seeds and peers tell the same. */
const retryMs = 1000;

/** Reads the recorded entry VMs, and records this one unless it is there already. */
export class MemberRegistry {
	readonly #self: MemberAddress;
	readonly #listener: RegistryListener;
	#client: StoreClient;

	constructor(
		self: MemberAddress,
		client: StoreClient,
		listener: RegistryListener,
	) {
		this.#self = self;
		this.#client = client;
		this.#listener = listener;
	}

	/** Uses the store at another address from now on. */
	moveTo(client: StoreClient): void {
		this.#client = client;
	}

	/** Reads and records; goes on trying until both have worked. */
	async register(): Promise<void> {
		const read = await this.#client.readNewest(topic);
		if (read.isErr()) {
			this.#retry(read.error.message);
			return;
		}

		const members = read.value.records.flatMap((record) => decode(record));
		this.#listener.membersRead(
			members.filter(({name}) => name !== this.#self.name),
		);
		const {name, zone, address} = this.#self;
		const isRecorded = members.some(
			(member) =>
				member.name === name &&
				member.zone === zone &&
				member.address === address,
		);
		if (isRecorded) {
			return;
		}

		const written = await this.#client.append(
			topic,
			name,
			JSON.stringify({zone, address}),
		);
		if (written.isErr()) {
			this.#retry(written.error.message);
			return;
		}

		// Of two that start at once, the one that is written later sees the other.
		await this.register();
	}

	#retry(message: string): void {
		this.#listener.failed(message);
		setTimeout(() => {
			void this.register();
		}, retryMs);
	}
}

function decode({key, value}: KeyedRecord): readonly MemberAddress[] {
	const record = value === undefined ? undefined : parseJsonObject(value);
	const zone = record === undefined ? undefined : stringField(record, 'zone');
	const address =
		record === undefined ? undefined : stringField(record, 'address');
	return zone === undefined || address === undefined
		? []
		: [{name: key, zone, address}];
}
