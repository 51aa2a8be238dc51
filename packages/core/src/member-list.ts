import {type MemberAddress} from './leadership.js';

/** An entry VM as its installation knows it. */
export type Member = Required<Omit<MemberAddress, 'ageMs'>>;

/** Time after its last heartbeat to any entry VM for which a member is kept. */
const retentionMs = 120_000;
/** Time for which a member is kept that only the store lists; a live one answers at once. */
const registeredRetentionMs = 3000;
/** Largest number of members; more are not added. */
const maxMembers = 4096;

type KnownMember = {
	readonly member: Member;
	/** Time of the member's newest heartbeat to any entry VM, as far as it is known here. */
	readonly heardAtMs: number;
	/** Whether only the store lists the member. */
	readonly isOnlyRegistered: boolean;
};

/**
 * The entry VMs of an installation, from their heartbeats, the lists of peers and the store's registry. Lists carry the
 * age of each entry, so that one that no entry VM hears any more expires everywhere at about the same time.
 */
export class MemberList {
	readonly #self: Member;
	readonly #known = new Map<string, KnownMember>();
	#all: readonly Member[] | undefined;
	#version: string | undefined;

	constructor(self: Member) {
		this.#self = self;
	}

	/** All members, this entry VM among them. */
	get all(): readonly Member[] {
		this.#all ??= [
			this.#self,
			...[...this.#known.values()].map(({member}) => member),
		];
		return this.#all;
	}

	/**
	 * A text that differs between lists with different members and does not depend on their order. Members that only the
	 * store lists are left out, as they are not passed on.
	 */
	get version(): string {
		this.#version ??= computeVersion([
			this.#self,
			...[...this.#known.values()]
				.filter(({isOnlyRegistered}) => !isOnlyRegistered)
				.map(({member}) => member),
		]);
		return this.#version;
	}

	/** Returns the zone of the member with an address, `undefined` if there is none. */
	findZone(address: string): string | undefined {
		return this.all.find((member) => member.address === address)?.zone;
	}

	/** Records a member from which a heartbeat has arrived; returns whether it is new or has changed. */
	hear(member: Member, now: number): boolean {
		return this.#put(member, now, false);
	}

	/** Adds the members that a peer lists; returns whether any is new. */
	receive(members: readonly MemberAddress[], now: number): boolean {
		return members
			.map(({ageMs = 0, ...member}) => {
				const known = this.#known.get(member.name);
				const heardAtMs = now - Math.max(0, ageMs);
				const isNewer =
					known === undefined ||
					known.isOnlyRegistered ||
					heardAtMs > known.heardAtMs;
				return (
					isNewer &&
					now - heardAtMs < retentionMs &&
					this.#put(
						{
							...member,
							processorShare:
								member.processorShare ?? known?.member.processorShare ?? 0,
						},
						heardAtMs,
						false,
					)
				);
			})
			.includes(true);
	}

	/** Adds the members that the store lists; many of them may no longer exist. */
	addRegistered(members: readonly MemberAddress[], now: number): void {
		for (const {name, zone, address, processorShare = 0} of members) {
			if (!this.#known.has(name)) {
				this.#put(
					{name, zone, address, processorShare},
					now - retentionMs + registeredRetentionMs,
					true,
				);
			}
		}
	}

	/** Removes the members that no entry VM has heard for long; returns whether there were any. */
	removeExpired(now: number): boolean {
		const expired = [...this.#known]
			.filter(([, {heardAtMs}]) => now - heardAtMs > retentionMs)
			.map(([name]) => name);
		for (const name of expired) {
			this.#known.delete(name);
		}

		this.#forgetCached(expired.length > 0);
		return expired.length > 0;
	}

	/** The list for peers, with the age of each entry; members that only the store lists are left out. */
	toAddresses(now: number): readonly MemberAddress[] {
		return [
			{...this.#self, ageMs: 0},
			...[...this.#known.values()]
				.filter(({isOnlyRegistered}) => !isOnlyRegistered)
				.map(({member, heardAtMs}) => ({
					...member,
					ageMs: Math.round(now - heardAtMs),
				})),
		];
	}

	#put(member: Member, heardAtMs: number, isOnlyRegistered: boolean): boolean {
		const known = this.#known.get(member.name);
		if (
			member.name === this.#self.name ||
			(known === undefined && this.#known.size >= maxMembers)
		) {
			return false;
		}

		const isChanged =
			known?.isOnlyRegistered !== isOnlyRegistered ||
			known.member.zone !== member.zone ||
			known.member.address !== member.address ||
			known.member.processorShare !== member.processorShare;
		this.#known.set(member.name, {
			member: isChanged ? member : known.member,
			heardAtMs,
			isOnlyRegistered,
		});
		this.#forgetCached(isChanged);
		return isChanged;
	}

	#forgetCached(isChanged: boolean): void {
		if (isChanged) {
			this.#all = undefined;
			this.#version = undefined;
		}
	}
}

const hashModulus = 2 ** 40;
const hashFactor = 4099;

function computeVersion(members: readonly Member[]): string {
	const sum = members.reduce(
		(total, {name, zone, address, processorShare}) =>
			(total + hashText(`${name} ${zone} ${address} ${processorShare}`)) %
			hashModulus,
		0,
	);
	return `${members.length}-${sum}`;
}

function hashText(text: string): number {
	let hash = 7;
	for (const letter of text) {
		hash = (hash * hashFactor + (letter.codePointAt(0) ?? 0)) % hashModulus;
	}

	return hash;
}
