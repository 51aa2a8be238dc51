/**
 * Measures share ledgers in one process, over links that take a millisecond: how fast shares move, what stays unusable,
 * and what that costs. `node --expose-gc testing/dist/measure-limits.js` prints one line of JSON for each size.
 */
import process from 'node:process';
import {ShareLedger, type LedgerMessage} from '@verbenarouter/core';

const turnMs = 50;
const settleTurns = 60;
const loadedTurns = 400;
const unitsPerMember = 4;

type Member = {
	readonly name: string;
	readonly ledger: ShareLedger;
};

type Traffic = {messages: number; bytes: number};

/** Ledgers of one size, with the time that they are told. */
class LedgerGroup {
	now = 1000;
	readonly members: readonly Member[];
	readonly traffic: Traffic = {messages: 0, bytes: 0};
	cpuMs = 0;

	constructor(
		count: number,
		readonly capacity: number,
	) {
		const rows = Array.from({length: count}, (_, index) => ({
			name: `entry-${index}`,
			zone: `zone-${index % 7}`,
			isLeaving: false,
		}));
		this.members = rows.map(({name, zone}) => ({
			name,
			ledger: new ShareLedger({
				self: {name, zone, incarnation: `${zone}.${name}.0123456789ab`},
				findCapacity: () => ({units: capacity}),
			}),
		}));
		for (const {ledger} of this.members) {
			ledger.updateMemberSet({version: 1, members: rows});
			for (const {name, zone} of rows) {
				ledger.handlePeerConnected(name, `${zone}.${name}.0123456789ab`);
			}
		}

		this.turn(settleTurns);
	}

	/** Gives every ledger so many turns, and delivers what they send. */
	turn(turns: number, eachTurn?: () => void): void {
		for (let turn = 0; turn < turns; turn += 1) {
			this.now += turnMs;
			eachTurn?.();
			// A poke follows each delivery, as in an entry VM; the delays of the links are two hops in all.
			for (const hopMs of [0, 1, 1]) {
				this.now += hopMs;
				this.#exchange();
			}
		}
	}

	held(resource: string): number {
		return this.members
			.map(({ledger}) => Math.max(0, ledger.held(resource)))
			.reduce((sum, units) => sum + units, 0);
	}

	#exchange(): void {
		const before = process.cpuUsage();
		const underWay: Array<{from: string; to: string; message: LedgerMessage}> =
			[];
		for (const {name, ledger} of this.members) {
			for (const {to, message} of ledger.tick(this.now)) {
				underWay.push({from: name, to, message});
			}
		}

		const byName = new Map(this.members.map((member) => [member.name, member]));
		for (const {from, to, message} of underWay) {
			byName.get(to)?.ledger.receive(from, message, this.now);
		}

		const {user, system} = process.cpuUsage(before);
		this.cpuMs += (user + system) / 1000;
		for (const {message} of underWay) {
			this.traffic.messages += 1;
			this.traffic.bytes += JSON.stringify(message).length;
		}
	}
}

function resourcesOf(teams: number): readonly string[] {
	return Array.from(
		{length: teams},
		(_, index) => `concurrency/team/team-${index}`,
	);
}

/** All demand of each team is at one entry VM. */
function measureSkew(count: number, teams: number) {
	const group = new LedgerGroup(count, count * unitsPerMember);
	const resources = resourcesOf(teams);
	group.traffic.messages = 0;
	group.traffic.bytes = 0;
	group.cpuMs = 0;
	const memoryBefore = heapBytes();
	let overshoot = 0;
	let turns = 0;
	let halfMs: number | undefined;
	let mostMs: number | undefined;
	const startedAt = group.now;
	group.turn(loadedTurns, () => {
		turns += 1;
		const shares = resources.map((resource, index) => {
			const {ledger} = group.members[index % count]!;
			const free = ledger.free(resource);
			if (free > 0) {
				ledger.tryTake(resource, free, group.now);
			}

			ledger.wants(resource, group.capacity - ledger.inUse(resource));
			return ledger.inUse(resource) / group.capacity;
		});
		const used = shares.reduce((sum, share) => sum + share, 0) / teams;
		halfMs ??= used >= 0.5 ? group.now - startedAt : undefined;
		mostMs ??= used >= 0.95 ? group.now - startedAt : undefined;
		if (turns % 20 === 0) {
			overshoot = Math.max(
				overshoot,
				...resources.map((resource) => group.held(resource) - group.capacity),
			);
		}
	});
	const seconds = (group.now - startedAt) / 1000;
	const used =
		resources
			.map(
				(resource, index) =>
					group.members[index % count]!.ledger.inUse(resource) / group.capacity,
			)
			.reduce((sum, share) => sum + share, 0) / teams;
	return {
		demand: 'at one entry VM',
		entryVms: count,
		teams,
		overshoot: Math.max(0, overshoot),
		unusableShare: round(1 - used),
		halfMovedMs: halfMs ?? null,
		mostMovedMs: mostMs ?? null,
		...costOf(group, seconds),
		heapBytesPerResourceAndEntryVm: Math.round(
			(heapBytes() - memoryBefore) / (count * teams),
		),
	};
}

/** Every entry VM wants more of every team's units than there are: nothing can move. */
function measureOverload(count: number, teams: number) {
	const group = new LedgerGroup(count, count * unitsPerMember);
	const resources = resourcesOf(teams);
	const press = () => {
		for (const {ledger} of group.members) {
			for (const resource of resources) {
				const free = ledger.free(resource);
				if (free > 0) {
					ledger.tryTake(resource, free, group.now);
				}

				ledger.wants(resource, 100);
			}
		}
	};

	group.turn(settleTurns, press);
	group.traffic.messages = 0;
	group.traffic.bytes = 0;
	group.cpuMs = 0;
	const startedAt = group.now;
	group.turn(settleTurns, press);
	return {
		demand: 'too much everywhere',
		entryVms: count,
		teams,
		...costOf(group, (group.now - startedAt) / 1000),
	};
}

function costOf(group: LedgerGroup, seconds: number) {
	const perEntryVm = group.members.length * seconds;
	return {
		messagesPerSecondAndEntryVm: round(group.traffic.messages / perEntryVm),
		bytesPerSecondAndEntryVm: Math.round(group.traffic.bytes / perEntryVm),
		cpuPercentPerEntryVm: round(group.cpuMs / perEntryVm / 10),
	};
}

function heapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

for (const count of [8, 16, 60]) {
	for (const teams of [50, 150, 350]) {
		console.log(JSON.stringify(measureSkew(count, teams)));
		console.log(JSON.stringify(measureOverload(count, teams)));
	}
}
