/**
 * Measures the share ledgers of many entry VMs in one process, over simulated links with a delay of one millisecond: how
 * fast shares move to the demand, which share stays unusable, and the CPU time, memory and messages that this takes.
 *
 * Usage: `node --expose-gc testing/dist/measure-limits.js`. It prints one line of JSON per measurement.
 */
import process from 'node:process';
import {ShareLedger, type LedgerMessage} from '@verbenarouter/core';

const tickIntervalMs = 50;
const settlingTicks = 60;
const measuredTicks = 400;
const unitsPerEntryVm = 4;

/** One simulated entry VM. */
type Member = {
	readonly name: string;
	readonly ledger: ShareLedger;
};

/** Messages between all ledgers, with their size as JSON. */
type Traffic = {messages: number; bytes: number};

/** Connected ledgers of `entryVmCount` entry VMs, driven by a simulated clock. */
class SimulatedLedgers {
	/** Time of the simulated clock. */
	nowMs = 1000;
	readonly members: readonly Member[];
	readonly traffic: Traffic = {messages: 0, bytes: 0};
	/** CPU time of the ledgers. */
	cpuMs = 0;

	constructor(
		entryVmCount: number,
		readonly capacity: number,
	) {
		const members = Array.from({length: entryVmCount}, (_, index) => ({
			name: `entry-${index}`,
			zone: `zone-${index % 7}`,
			isLeaving: false,
		}));
		this.members = members.map(({name, zone}) => ({
			name,
			ledger: new ShareLedger({
				self: {name, zone, incarnation: `${zone}.${name}.0123456789ab`},
				findCapacity: () => ({units: capacity}),
			}),
		}));
		for (const {ledger} of this.members) {
			ledger.updateMemberSet({version: 1, members});
			for (const {name, zone} of members) {
				ledger.handlePeerConnected(name, `${zone}.${name}.0123456789ab`);
			}
		}

		this.runTicks(settlingTicks);
	}

	/** Advances the clock by a number of tick intervals, runs every ledger and delivers the messages. */
	runTicks(tickCount: number, beforeTick?: () => void): void {
		for (let tick = 0; tick < tickCount; tick += 1) {
			this.nowMs += tickIntervalMs;
			beforeTick?.();
			// As in an entry VM, the ledgers tick again after each delivery; one link delay passes before each further tick.
			for (const hopMs of [0, 1, 1]) {
				this.nowMs += hopMs;
				this.#exchangeMessages();
			}
		}
	}

	/** Returns the units of a resource that all entry VMs hold together. */
	sumHeldUnits(resource: string): number {
		return this.members
			.map(({ledger}) => Math.max(0, ledger.held(resource)))
			.reduce((sum, units) => sum + units, 0);
	}

	/** Runs one tick of all ledgers, then delivers all messages that they sent. */
	#exchangeMessages(): void {
		const cpuBefore = process.cpuUsage();
		const messagesInTransit: Array<{
			from: string;
			to: string;
			message: LedgerMessage;
		}> = [];
		for (const {name, ledger} of this.members) {
			for (const {to, message} of ledger.tick(this.nowMs)) {
				messagesInTransit.push({from: name, to, message});
			}
		}

		const byName = new Map(this.members.map((member) => [member.name, member]));
		for (const {from, to, message} of messagesInTransit) {
			byName.get(to)?.ledger.receive(from, message, this.nowMs);
		}

		const {user, system} = process.cpuUsage(cpuBefore);
		this.cpuMs += (user + system) / 1000;
		for (const {message} of messagesInTransit) {
			this.traffic.messages += 1;
			this.traffic.bytes += JSON.stringify(message).length;
		}
	}
}

function createResourceNames(teamCount: number): readonly string[] {
	return Array.from(
		{length: teamCount},
		(_, index) => `concurrency/team/team-${index}`,
	);
}

/**
 * Measures a skewed load: all demand of each team arrives at one entry VM. `halfMovedMs` and `mostMovedMs` are the times
 * until these entry VMs use 50 % and 95 % of the capacity, `unusableShare` is the share that they do not use at the end,
 * and `overshoot` is the greatest sampled number of units of one team that all entry VMs together hold beyond the
 * capacity.
 */
function measureSkewedDemand(entryVmCount: number, teamCount: number) {
	const ledgers = new SimulatedLedgers(
		entryVmCount,
		entryVmCount * unitsPerEntryVm,
	);
	const resources = createResourceNames(teamCount);
	ledgers.traffic.messages = 0;
	ledgers.traffic.bytes = 0;
	ledgers.cpuMs = 0;
	const heapBefore = collectedHeapBytes();
	let overshootUnits = 0;
	let ticks = 0;
	let halfMovedMs: number | undefined;
	let mostMovedMs: number | undefined;
	const startedAtMs = ledgers.nowMs;
	ledgers.runTicks(measuredTicks, () => {
		ticks += 1;
		const usedShares = resources.map((resource, index) => {
			const {ledger} = ledgers.members[index % entryVmCount]!;
			const free = ledger.free(resource);
			if (free > 0) {
				ledger.tryTake(resource, free, ledgers.nowMs);
			}

			ledger.wants(resource, ledgers.capacity - ledger.inUse(resource));
			return ledger.inUse(resource) / ledgers.capacity;
		});
		const meanUsedShare =
			usedShares.reduce((sum, share) => sum + share, 0) / teamCount;
		halfMovedMs ??=
			meanUsedShare >= 0.5 ? ledgers.nowMs - startedAtMs : undefined;
		mostMovedMs ??=
			meanUsedShare >= 0.95 ? ledgers.nowMs - startedAtMs : undefined;
		if (ticks % 20 === 0) {
			overshootUnits = Math.max(
				overshootUnits,
				...resources.map(
					(resource) => ledgers.sumHeldUnits(resource) - ledgers.capacity,
				),
			);
		}
	});
	const seconds = (ledgers.nowMs - startedAtMs) / 1000;
	const finalUsedShare =
		resources
			.map(
				(resource, index) =>
					ledgers.members[index % entryVmCount]!.ledger.inUse(resource) /
					ledgers.capacity,
			)
			.reduce((sum, share) => sum + share, 0) / teamCount;
	return {
		demand: 'at one entry VM',
		entryVms: entryVmCount,
		teams: teamCount,
		overshoot: Math.max(0, overshootUnits),
		unusableShare: roundToThousandths(1 - finalUsedShare),
		halfMovedMs: halfMovedMs ?? null,
		mostMovedMs: mostMovedMs ?? null,
		...averageCost(ledgers, seconds),
		heapBytesPerResourceAndEntryVm: Math.round(
			(collectedHeapBytes() - heapBefore) / (entryVmCount * teamCount),
		),
	};
}

/** Measures a uniform overload: every entry VM has unmet demand for every team, so that no units can move. */
function measureUniformOverload(entryVmCount: number, teamCount: number) {
	const ledgers = new SimulatedLedgers(
		entryVmCount,
		entryVmCount * unitsPerEntryVm,
	);
	const resources = createResourceNames(teamCount);
	const addDemand = () => {
		for (const {ledger} of ledgers.members) {
			for (const resource of resources) {
				const free = ledger.free(resource);
				if (free > 0) {
					ledger.tryTake(resource, free, ledgers.nowMs);
				}

				ledger.wants(resource, 100);
			}
		}
	};

	ledgers.runTicks(settlingTicks, addDemand);
	ledgers.traffic.messages = 0;
	ledgers.traffic.bytes = 0;
	ledgers.cpuMs = 0;
	const startedAtMs = ledgers.nowMs;
	ledgers.runTicks(settlingTicks, addDemand);
	return {
		demand: 'too much everywhere',
		entryVms: entryVmCount,
		teams: teamCount,
		...averageCost(ledgers, (ledgers.nowMs - startedAtMs) / 1000),
	};
}

/** Averages messages, bytes and CPU time over the entry VMs and the time. */
function averageCost(ledgers: SimulatedLedgers, seconds: number) {
	const entryVmSeconds = ledgers.members.length * seconds;
	return {
		messagesPerSecondAndEntryVm: roundToThousandths(
			ledgers.traffic.messages / entryVmSeconds,
		),
		bytesPerSecondAndEntryVm: Math.round(
			ledgers.traffic.bytes / entryVmSeconds,
		),
		cpuPercentPerEntryVm: roundToThousandths(
			ledgers.cpuMs / entryVmSeconds / 10,
		),
	};
}

/** Returns the used heap after a full garbage collection. */
function collectedHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function roundToThousandths(value: number): number {
	return Math.round(value * 1000) / 1000;
}

for (const entryVmCount of [8, 16, 60]) {
	for (const teamCount of [50, 150, 350]) {
		console.log(JSON.stringify(measureSkewedDemand(entryVmCount, teamCount)));
		console.log(
			JSON.stringify(measureUniformOverload(entryVmCount, teamCount)),
		);
	}
}
