import {
	sampleLogUniform,
	type CatalogueItem,
	type Random,
} from '@verbenarouter/core';
import {createEntryItem} from '../installation.js';

/** One class of jobs of a mix, with a catalogue entry of its own. */
export type JobClass = {
	readonly entry: string;
	/** Relative frequency of the class among the jobs of the mix. */
	readonly weight: number;
	/** Range of the number of tasks; drawn log-uniformly. */
	readonly taskCountRange: readonly [minimum: number, maximum: number];
	/** Range of the run time of a task; drawn uniformly. */
	readonly runMsRange: readonly [minimum: number, maximum: number];
	/** Share of tasks that take several seconds, and the range of their run times. */
	readonly longTasks?: {
		readonly share: number;
		readonly runMsRange: readonly [minimum: number, maximum: number];
	};
	readonly deadlineMs: number;
	readonly idempotent: boolean;
};

/** Teams and classes from which jobs are drawn, modelled on one user or made for a measurement. */
export type JobMix = {
	readonly teams: readonly string[];
	readonly classes: readonly JobClass[];
};

/** One task that the load tool submits: its run time and the expected time that the caller declares, if any. */
export type PlannedTask = {
	readonly runMs: number;
	readonly expectedMs?: number;
};

/** One job that the load tool submits. */
export type PlannedJob = {
	readonly team: string;
	readonly entry: string;
	readonly tasks: readonly PlannedTask[];
};

/** Names of the mixes. */
export const mixNames = ['coastal', 'kruidhof', 'starts'] as const;

/** Name of a mix. */
export type MixName = (typeof mixNames)[number];

const mixes: Readonly<Record<MixName, JobMix>> = {
	coastal: {
		teams: ['coastal-kitchens', 'coastal-portions', 'coastal-deliveries'],
		classes: [
			{
				entry: 'macro-check',
				weight: 0.7,
				taskCountRange: [1, 5],
				runMsRange: [50, 200],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'delivery-confirmation',
				weight: 0.28,
				taskCountRange: [1, 1],
				runMsRange: [50, 150],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'plan-rebuild',
				weight: 0.02,
				taskCountRange: [50, 1400],
				runMsRange: [100, 1000],
				longTasks: {share: 0.01, runMsRange: [2000, 5000]},
				deadlineMs: 60_000,
				idempotent: true,
			},
		],
	},
	kruidhof: {
		teams: ['kruidhof-flanders', 'kruidhof-wallonia'],
		classes: [
			{
				entry: 'price-check',
				weight: 0.75,
				taskCountRange: [1, 1],
				runMsRange: [50, 200],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'order',
				weight: 0.25,
				taskCountRange: [1, 30],
				runMsRange: [100, 1000],
				longTasks: {share: 0.01, runMsRange: [2000, 4000]},
				deadlineMs: 20_000,
				idempotent: false,
			},
		],
	},
	/** Short tasks in jobs of one size, which load the entry VMs rather than the targets. */
	starts: {
		teams: ['starts'],
		classes: [
			{
				entry: 'start',
				weight: 1,
				taskCountRange: [100, 100],
				runMsRange: [20, 20],
				deadlineMs: 5000,
				idempotent: true,
			},
		],
	},
};

const shareWithoutExpectedMs = 0.1;

/** Creates a mix with jobs of at most `largestJob` tasks. */
export function createJobMix(name: MixName, largestJob: number): JobMix {
	const {teams, classes} = mixes[name];
	return {
		teams,
		classes: classes.map((jobClass) => ({
			...jobClass,
			taskCountRange: [
				Math.min(jobClass.taskCountRange[0], largestJob),
				Math.min(jobClass.taskCountRange[1], largestJob),
			],
		})),
	};
}

/** Creates the catalogue entries of a mix, one per class, with concurrency and rate limits that no load reaches. */
export function createCatalogueEntries({
	classes,
}: JobMix): readonly CatalogueItem[] {
	return classes.map(({entry, deadlineMs, idempotent}) =>
		createEntryItem(entry, {
			idempotent,
			limits: {
				concurrency: 1_000_000,
				startsPerSecond: 1_000_000,
				deadlineMs,
				largestJob: 1400,
			},
		}),
	);
}

/** Draws one job of a random class and team. */
export function drawJob({teams, classes}: JobMix, random: Random): PlannedJob {
	const jobClass = drawClass(classes, random);
	const count = Math.floor(
		sampleLogUniform(
			random,
			jobClass.taskCountRange[0],
			jobClass.taskCountRange[1] + 1,
		),
	);
	return {
		team: teams[Math.floor(random() * teams.length)] ?? '',
		entry: jobClass.entry,
		tasks: Array.from({length: count}, () => drawTask(jobClass, random)),
	};
}

/** Returns the run time of all tasks of a job together, in milliseconds of one slot. */
export function totalRunMs({tasks}: PlannedJob): number {
	return tasks.reduce((sum, {runMs}) => sum + runMs, 0);
}

/** Returns the run time of the longest task of a job in milliseconds. */
export function longestRunMs({tasks}: PlannedJob): number {
	return Math.max(...tasks.map(({runMs}) => runMs));
}

function drawClass(classes: readonly JobClass[], random: Random): JobClass {
	let remainingWeight =
		random() * classes.reduce((sum, {weight}) => sum + weight, 0);
	const found = classes.find(({weight}) => {
		remainingWeight -= weight;
		return remainingWeight < 0;
	});
	return found ?? classes[0]!;
}

function drawTask(
	{runMsRange, longTasks}: JobClass,
	random: Random,
): PlannedTask {
	const range =
		longTasks !== undefined && random() < longTasks.share
			? longTasks.runMsRange
			: runMsRange;
	const actualMs = Math.round(range[0] + random() * (range[1] - range[0]));
	// Declared times are inaccurate: a log-normal error makes a third of them wrong by more than a factor of e.
	const declarationError = Math.exp(sampleStandardNormal(random));
	return random() < shareWithoutExpectedMs
		? {runMs: actualMs}
		: {
				runMs: actualMs,
				expectedMs: Math.max(1, Math.round(actualMs * declarationError)),
			};
}

/** Draws from the standard normal distribution by the Box-Muller transform. */
function sampleStandardNormal(random: Random): number {
	return (
		Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
	);
}
