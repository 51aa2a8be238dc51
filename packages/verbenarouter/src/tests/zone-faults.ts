import {type Random, type WorkerEntry} from '@verbenarouter/core';
import {workerFixture} from '../../../core/dist/tests/pool-fixtures.js';

/** Zones, machines and bounds of the scope of leaders. */
export type ZoneModelShape = {
	readonly zoneCount: number;
	readonly workersPerZone: number;
	readonly entryVmsPerZone: number;
	readonly scope: {
		readonly maxRegionalWorkers: number;
		readonly minZonalWorkers: number;
		readonly settleMs: number;
		readonly resettleMs: number;
		readonly maxListAgeMs: number;
	};
};

/** Three zones, each with its own leader. */
export const zoneShape: ZoneModelShape = {
	zoneCount: 3,
	workersPerZone: 4,
	entryVmsPerZone: 3,
	scope: {
		maxRegionalWorkers: 5,
		minZonalWorkers: 9,
		settleMs: 2500,
		resettleMs: 30_000,
		maxListAgeMs: 2000,
	},
};

/** The same zones and workers, few enough for one leader of the region. */
export const oneLeaderShape: ZoneModelShape = {
	...zoneShape,
	scope: {...zoneShape.scope, maxRegionalWorkers: 80, minZonalWorkers: 120},
};

/** Four zones with one leader, after about 4 s. */
export const regionShape: ZoneModelShape = {
	zoneCount: 4,
	workersPerZone: 2,
	entryVmsPerZone: 2,
	scope: {
		...zoneShape.scope,
		maxRegionalWorkers: 20,
		minZonalWorkers: 30,
		settleMs: 500,
	},
};

export function listZones({zoneCount}: ZoneModelShape): readonly string[] {
	return Array.from(
		{length: zoneCount},
		(_, index) => `zone-${'abcdefgh'[index]!}`,
	);
}

/** Lists the names of all entry VMs; each begins with the name of its zone. */
export function listEntryVms(shape: ZoneModelShape): readonly string[] {
	return listZones(shape).flatMap((zone) =>
		Array.from(
			{length: shape.entryVmsPerZone},
			(_, index) => `${zone}-entry-${index + 1}`,
		),
	);
}

export function createWorkerEntries(
	shape: ZoneModelShape,
): readonly WorkerEntry[] {
	return listZones(shape).flatMap((zone) =>
		Array.from({length: shape.workersPerZone}, (_, index) =>
			workerFixture(`${zone}-worker-${index + 1}`, {zone}),
		),
	);
}

/** Probabilities of further faults in a check every 100 ms. */
export type ZoneFaultSettings = {
	/** Probability that a leader stands still for up to 0.9 s. */
	readonly leaderStallProbability: number;
	/** Share of these times, and of those of other processes, that lie within a turn. */
	readonly withinTurnShare: number;
	/** Probability that no messages pass between a leader and all other entry VMs for a while. */
	readonly leaderCutProbability: number;
	/** Probability that all streams of a leader break, and open again after a while. */
	readonly leaderResetProbability: number;
	/** Probability that all entry VMs of a zone are lost for seconds. */
	readonly zoneLossProbability: number;
	/** Probability that the store returns from an outage without the entries of some workers, for about two seconds. */
	readonly entryLossProbability: number;
	/** Probability that the process of a worker starts anew. */
	readonly workerRestartProbability: number;
};

export const noZoneFaults: ZoneFaultSettings = {
	leaderStallProbability: 0,
	withinTurnShare: 0.5,
	leaderCutProbability: 0,
	leaderResetProbability: 0,
	zoneLossProbability: 0,
	entryLossProbability: 0,
	workerRestartProbability: 0,
};

/** What the faults act on. */
export type ZoneFaultTargets = {
	readonly settings: ZoneFaultSettings;
	readonly random: Random;
	readonly zones: readonly string[];
	readonly entryVms: readonly string[];
	readonly workerIds: readonly string[];
	/** Returns the name of a running leader. */
	findLeader(): string | undefined;
	stand(entryVm: string, durationMs: number): void;
	standBeforeSend(
		entryVm: string,
		durationMs: number,
		sendsBefore: number,
		isStart?: boolean,
	): void;
	cut(
		left: readonly string[],
		right: readonly string[],
		durationMs: number,
		isDelaying: boolean,
	): void;
	/** Lets no messages and commands pass between a zone and all others. */
	cutZone(zone: string, durationMs: number, isDelaying: boolean): void;
	/** Breaks all streams of an entry VM, which open again after a while. */
	reset(entryVm: string, durationMs: number): void;
	lose(entryVms: readonly string[], restartMs: number): void;
	/** Stops the store, and lets it return without the entries of some workers. */
	loseEntries(
		workers: readonly string[],
		outageMs: number,
		missingMs: number,
	): void;
	/** Lets the store turn away the reads of some entry VMs. */
	turnAwayFromStore(entryVms: readonly string[], durationMs: number): void;
	restartWorker(worker: string): void;
	log(line: string): void;
};

/** Draws the faults of one check. */
export function drawZoneFaults(targets: ZoneFaultTargets): void {
	const {settings, random, entryVms, zones, workerIds} = targets;
	const happens = (probability: number) =>
		probability > 0 && random() < probability;
	if (happens(settings.leaderStallProbability)) {
		standStill(targets, targets.findLeader(), 250 + 650 * random());
	}

	if (happens(settings.leaderCutProbability)) {
		const leader = targets.findLeader();
		if (leader !== undefined) {
			const durationMs = 200 + 2000 * random();
			targets.log(`cut of leader ${leader} for ${durationMs.toFixed(0)} ms`);
			targets.cut(
				[leader],
				entryVms.filter((name) => name !== leader),
				durationMs,
				random() < 0.5,
			);
		}
	}

	if (happens(settings.leaderResetProbability)) {
		const leader = targets.findLeader();
		if (leader !== undefined) {
			const durationMs = 20 + 1500 * random() ** 2;
			targets.log(`cut by resets of ${leader}, ${durationMs.toFixed(0)} ms`);
			targets.reset(leader, durationMs);
		}
	}

	if (happens(settings.zoneLossProbability)) {
		const zone = zones[Math.floor(zones.length * random())]!;
		targets.lose(
			entryVms.filter((name) => name.startsWith(zone)),
			1000 + 3000 * random(),
		);
	}

	if (happens(settings.entryLossProbability)) {
		targets.loseEntries(
			workerIds.filter(() => random() < 0.3),
			1000 + 1000 * random(),
			2000,
		);
	}

	if (happens(settings.workerRestartProbability)) {
		targets.restartWorker(workerIds[Math.floor(workerIds.length * random())]!);
	}
}

/** Lets a process stand still, between two turns or within one. */
export function standStill(
	targets: Pick<
		ZoneFaultTargets,
		'settings' | 'random' | 'stand' | 'standBeforeSend' | 'log'
	>,
	entryVm: string | undefined,
	durationMs: number,
): void {
	if (entryVm === undefined) {
		return;
	}

	if (targets.random() < targets.settings.withinTurnShare) {
		targets.standBeforeSend(
			entryVm,
			durationMs,
			Math.floor(12 * targets.random()),
		);
	} else {
		targets.stand(entryVm, durationMs);
	}
}
