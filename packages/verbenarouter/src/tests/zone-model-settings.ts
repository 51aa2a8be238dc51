import {
	noZoneFaults,
	regionShape,
	zoneShape,
	type ZoneFaultSettings,
	type ZoneFaultTargets,
	type ZoneModelShape,
} from './zone-faults.js';

/** Settings of one play. Each fault has a probability in a check every 100 ms. */
export type ZoneModelSettings = ZoneFaultSettings & {
	readonly shape: ZoneModelShape;
	readonly seed: number;
	readonly durationMs: number;
	/** Time from which jobs arrive and faults happen; before, the entry VMs elect their first leaders. */
	readonly calmMs: number;
	/** Mean time between two jobs. */
	readonly jobIntervalMs: number;
	/** Share of the jobs that callers of the first zone send; the others send equally many. */
	readonly firstZoneShare: number;
	/** Run time of the longest tasks; most tasks take a fraction of it. */
	readonly longestRunMs: number;
	/** Probability that one process is lost. */
	readonly killProbability: number;
	/** Probability that the leader of a zone is lost. */
	readonly leaderKillProbability: number;
	/** Probability that the leader of a zone and another process are lost. */
	readonly pairKillProbability: number;
	/** Probability that a process is stopped as planned. */
	readonly stopProbability: number;
	/** Probability that the leader of a zone is stopped as planned. */
	readonly leaderStopProbability: number;
	/** Times at which all processes are lost. */
	readonly lossesOfAllAtMs: readonly number[];
	/** Probability that a process handles nothing for a while. */
	readonly stallProbability: number;
	/** Probability that a process is late by 150 to 250 ms, so that it sends heartbeats less often for some seconds. */
	readonly delayProbability: number;
	/** Probability that no messages pass between two entry VMs for a while. */
	readonly cutProbability: number;
	/** Probability that no messages and commands pass between a zone and all others for a while. */
	readonly zoneCutProbability: number;
	/** Duration of the shortest such time; the longest one is 2500 ms longer. */
	readonly shortestZoneCutMs: number;
	/** Probability that the stream between two entry VMs breaks. */
	readonly breakProbability: number;
	/** Probability that the connection of a caller is reset. */
	readonly resetProbability: number;
	/** Probability that a worker receives no commands for a while. */
	readonly silenceProbability: number;
	/** Probability that a command to a worker is carried out late. */
	readonly lateCommandProbability: number;
	/** Probability that the outcome of a command to a worker is lost. */
	readonly lossProbability: number;
	/** Share of the messages and commands that take up to 100 ms. */
	readonly slowMessageShare: number;
	/** Probability that the store cannot be read for some seconds. */
	readonly storeOutageProbability: number;
	/** Share of the workers that register during the play. */
	readonly lateWorkerShare: number;
	/** Share of the copies that callers send to another zone although their own has entry VMs. */
	readonly movingShare: number;
	/** Whether callers wait for an entry VM of their own zone while none is up. */
	readonly staysInZone: boolean;
	/** Plans jobs and faults besides the random ones. */
	readonly script?: (stage: ZoneStage) => void;
};

/** What a script may plan, all at times in milliseconds since the start of the play. */
export type ZoneStage = {
	/** Has a caller send a job, and its copies after each loss of an answer, to these entry VMs in turn. */
	sendJob(
		atMs: number,
		id: string,
		runMs: number,
		entryVms: readonly string[],
	): void;
	/** Resets the connection of the caller of a job. */
	resetCaller(atMs: number, id: string): void;
	/** Ends the processes of entry VMs, and starts them again `restartMs` later. */
	lose(atMs: number, entryVms: readonly string[], restartMs: number): void;
	/** Stops the process of an entry VM as planned. */
	stop(atMs: number, entryVm: string): void;
	/** Lets no commands reach the workers that run a job by then, for a time. */
	silenceWorkersOf(atMs: number, id: string, durationMs: number): void;
	/** Removes the workers that run a job by then from the store's list; they run on. */
	unlistWorkersOf(atMs: number, id: string): void;
	/** Lets the store be read by nobody for a time. */
	stopStore(atMs: number, durationMs: number): void;
	/** Plans a change of the processes, streams, workers or the store. */
	plan(atMs: number, run: (targets: ZoneFaultTargets) => void): void;
};

const calmDay: Omit<ZoneModelSettings, 'seed'> = {
	...noZoneFaults,
	shape: zoneShape,
	durationMs: 10_000,
	calmMs: 2000,
	jobIntervalMs: 32,
	firstZoneShare: 0.5,
	longestRunMs: 3600,
	killProbability: 0,
	leaderKillProbability: 0,
	pairKillProbability: 0,
	stopProbability: 0,
	leaderStopProbability: 0,
	lossesOfAllAtMs: [],
	stallProbability: 0,
	delayProbability: 0,
	cutProbability: 0,
	zoneCutProbability: 0,
	shortestZoneCutMs: 200,
	breakProbability: 0,
	resetProbability: 0,
	silenceProbability: 0,
	lateCommandProbability: 0,
	lossProbability: 0.005,
	slowMessageShare: 0.02,
	storeOutageProbability: 0,
	lateWorkerShare: 0,
	movingShare: 0,
	staysInZone: false,
};

const regionDay: Omit<ZoneModelSettings, 'seed'> = {
	...calmDay,
	shape: regionShape,
	durationMs: 12_000,
	calmMs: 4500,
	jobIntervalMs: 48,
	resetProbability: 0.3,
	firstZoneShare: 0.25,
};

/** Days by what goes wrong: with leaders of zones or, if the name begins with "region", one of the region. */
export const zoneModelDays = {
	calm: calmDay,
	/** Nothing happens but what a script plans. */
	scripted: {
		...calmDay,
		jobIntervalMs: 1e9,
		lossProbability: 0,
		slowMessageShare: 0,
	},
	/** Processes are lost, one at a time. */
	kills: {...calmDay, killProbability: 0.05},
	leaderKills: {...calmDay, leaderKillProbability: 0.04},
	/** A leader and another process are lost together. */
	pairKills: {...calmDay, pairKillProbability: 0.04},
	stops: {
		...calmDay,
		stopProbability: 0.02,
		leaderStopProbability: 0.03,
	},
	/** All processes are lost at once, twice. */
	lossOfAll: {...calmDay, lossesOfAllAtMs: [4500, 7500]},
	/** Connections of callers are reset while all processes run on. */
	resets: {...calmDay, resetProbability: 0.5},
	stalls: {...calmDay, stallProbability: 0.12},
	cuts: {...calmDay, cutProbability: 0.3, stallProbability: 0.01},
	zoneCuts: {...calmDay, zoneCutProbability: 0.04},
	breaks: {...calmDay, breakProbability: 0.5},
	/** Workers are silent for a while, and carry out some commands late. */
	silences: {
		...calmDay,
		silenceProbability: 0.15,
		lateCommandProbability: 0.02,
		lossProbability: 0.02,
	},
	/** Callers of lost receivers send their jobs to other zones. */
	moves: {
		...calmDay,
		killProbability: 0.03,
		resetProbability: 0.3,
		movingShare: 0.7,
	},
	/** The store cannot be read while processes are lost and stopped. */
	storeOutages: {
		...calmDay,
		storeOutageProbability: 0.05,
		killProbability: 0.02,
		leaderStopProbability: 0.05,
		leaderKillProbability: 0.02,
	},
	/** Workers register while the store can't be read at times and leaders are lost. */
	lateWorkers: {
		...calmDay,
		lateWorkerShare: 0.5,
		storeOutageProbability: 0.06,
		leaderKillProbability: 0.05,
	},
	all: {
		...calmDay,
		killProbability: 0.015,
		leaderKillProbability: 0.01,
		pairKillProbability: 0.005,
		leaderStopProbability: 0.01,
		stopProbability: 0.01,
		lossesOfAllAtMs: [6500],
		stallProbability: 0.03,
		cutProbability: 0.05,
		zoneCutProbability: 0.005,
		breakProbability: 0.05,
		resetProbability: 0.1,
		silenceProbability: 0.03,
		lateCommandProbability: 0.005,
		lossProbability: 0.01,
		storeOutageProbability: 0.01,
		movingShare: 0.2,
	},
	/** The same with one leader of the region, by 4500 ms. */
	regionScripted: {
		...regionDay,
		jobIntervalMs: 1e9,
		lossProbability: 0,
		slowMessageShare: 0,
		resetProbability: 0,
	},
	/** Leaders stand still, half of them between deciding and sending. */
	leaderStalls: {
		...calmDay,
		leaderStallProbability: 0.08,
		resetProbability: 0.2,
	},
	lateCommands: {
		...calmDay,
		lateCommandProbability: 0.03,
		leaderKillProbability: 0.03,
		resetProbability: 0.2,
	},
	entryLosses: {
		...calmDay,
		entryLossProbability: 0.03,
		leaderStallProbability: 0.05,
		leaderKillProbability: 0.02,
		resetProbability: 0.1,
	},
	workerRestarts: {
		...calmDay,
		workerRestartProbability: 0.1,
		leaderStallProbability: 0.06,
		resetProbability: 0.1,
	},
	regionCalm: regionDay,
	regionStalls: {
		...regionDay,
		leaderStallProbability: 0.08,
		stallProbability: 0.02,
	},
	regionStallsOnly: {
		...regionDay,
		leaderStallProbability: 0.1,
		resetProbability: 0,
	},
	regionLateCommands: {
		...regionDay,
		lateCommandProbability: 0.03,
		leaderKillProbability: 0.03,
	},
	regionZoneCuts: {...regionDay, zoneCutProbability: 0.04},
	/** The same while all processes are late again and again, and tasks are long. */
	regionLateZoneCuts: {
		...regionDay,
		resetProbability: 0,
		longestRunMs: 6000,
		delayProbability: 0.015,
		zoneCutProbability: 0.04,
		shortestZoneCutMs: 2000,
	},
	regionLeaderCuts: {...regionDay, leaderCutProbability: 0.05},
	regionResets: {...regionDay, leaderResetProbability: 0.06},
	regionStops: {
		...regionDay,
		leaderStopProbability: 0.04,
		stopProbability: 0.03,
	},
	regionZoneLosses: {
		...regionDay,
		zoneLossProbability: 0.03,
		leaderStallProbability: 0.04,
	},
	regionEntryLosses: {
		...regionDay,
		entryLossProbability: 0.03,
		killProbability: 0.04,
		leaderStallProbability: 0.06,
	},
	regionLateWorkers: {
		...regionDay,
		resetProbability: 0,
		lateWorkerShare: 0.5,
		storeOutageProbability: 0.06,
		leaderKillProbability: 0.05,
	},
	regionRestarts: {
		...regionDay,
		workerRestartProbability: 0.1,
		leaderStallProbability: 0.06,
	},
	regionAll: {
		...regionDay,
		movingShare: 0.5,
		leaderStallProbability: 0.03,
		stallProbability: 0.01,
		leaderCutProbability: 0.01,
		leaderResetProbability: 0.01,
		zoneCutProbability: 0.01,
		leaderKillProbability: 0.01,
		leaderStopProbability: 0.01,
		zoneLossProbability: 0.005,
		entryLossProbability: 0.01,
		lateCommandProbability: 0.005,
	},
} as const satisfies Readonly<Record<string, Omit<ZoneModelSettings, 'seed'>>>;
