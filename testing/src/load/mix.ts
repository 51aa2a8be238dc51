/** The users' mixes of jobs, drawn from a seed, with declared times that are far off. */
import {
	sampleLogUniform,
	type CatalogueItem,
	type Random,
} from '@verbenarouter/core';
import {createEntryItem} from '../installation.js';

/** One class of work of a mix. */
export type JobClass = {
	readonly entry: string;
	/** Share of the jobs. */
	readonly weight: number;
	readonly tasks: readonly [least: number, most: number];
	readonly runMs: readonly [least: number, most: number];
	/** Share of tasks that take several seconds, and how long they take. */
	readonly long?: {
		readonly share: number;
		readonly runMs: readonly [least: number, most: number];
	};
	readonly deadlineMs: number;
	readonly idempotent: boolean;
};

/** The jobs of one user. */
export type Mix = {
	readonly teams: readonly string[];
	readonly classes: readonly JobClass[];
};

/** One task that the load tool submits. */
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

const mixes: Readonly<Record<MixName, Mix>> = {
	coastal: {
		teams: ['coastal-kitchens', 'coastal-portions', 'coastal-deliveries'],
		classes: [
			{
				entry: 'macro-check',
				weight: 0.7,
				tasks: [1, 5],
				runMs: [50, 200],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'delivery-confirmation',
				weight: 0.28,
				tasks: [1, 1],
				runMs: [50, 150],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'plan-rebuild',
				weight: 0.02,
				tasks: [50, 1400],
				runMs: [100, 1000],
				long: {share: 0.01, runMs: [2000, 5000]},
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
				tasks: [1, 1],
				runMs: [50, 200],
				deadlineMs: 5000,
				idempotent: true,
			},
			{
				entry: 'order',
				weight: 0.25,
				tasks: [1, 30],
				runMs: [100, 1000],
				long: {share: 0.01, runMs: [2000, 4000]},
				deadlineMs: 20_000,
				idempotent: false,
			},
		],
	},
	/** Short tasks in jobs of one size, to load the entry VMs rather than the workers. */
	starts: {
		teams: ['starts'],
		classes: [
			{
				entry: 'start',
				weight: 1,
				tasks: [100, 100],
				runMs: [20, 20],
				deadlineMs: 5000,
				idempotent: true,
			},
		],
	},
};

const shareWithoutDeclaration = 0.1;

/** A mix by its name, with jobs of at most so many tasks. */
export function mixOf(name: MixName, largestJob: number): Mix {
	const {teams, classes} = mixes[name];
	return {
		teams,
		classes: classes.map((jobClass) => ({
			...jobClass,
			tasks: [
				Math.min(jobClass.tasks[0], largestJob),
				Math.min(jobClass.tasks[1], largestJob),
			],
		})),
	};
}

/** Catalogue entries of a mix. */
export function entriesOf({classes}: Mix): readonly CatalogueItem[] {
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

/** Draws one job. */
export function drawJob({teams, classes}: Mix, random: Random): PlannedJob {
	const jobClass = drawClass(classes, random);
	const count = Math.floor(
		sampleLogUniform(random, jobClass.tasks[0], jobClass.tasks[1] + 1),
	);
	return {
		team: teams[Math.floor(random() * teams.length)] ?? '',
		entry: jobClass.entry,
		tasks: Array.from({length: count}, () => drawTask(jobClass, random)),
	};
}

/** Work of a job in slot milliseconds. */
export function workMs({tasks}: PlannedJob): number {
	return tasks.reduce((sum, {runMs}) => sum + runMs, 0);
}

/** Longest task of a job in milliseconds. */
export function longestMs({tasks}: PlannedJob): number {
	return Math.max(...tasks.map(({runMs}) => runMs));
}

function drawClass(classes: readonly JobClass[], random: Random): JobClass {
	let left = random() * classes.reduce((sum, {weight}) => sum + weight, 0);
	const found = classes.find(({weight}) => {
		left -= weight;
		return left < 0;
	});
	return found ?? classes[0]!;
}

function drawTask({runMs, long}: JobClass, random: Random): PlannedTask {
	const bounds =
		long !== undefined && random() < long.share ? long.runMs : runMs;
	const actualMs = Math.round(bounds[0] + random() * (bounds[1] - bounds[0]));
	// The declared time is off by a log-normal factor: a third of them by more than e in one direction or the other.
	const factor = Math.exp(normal(random));
	return random() < shareWithoutDeclaration
		? {runMs: actualMs}
		: {runMs: actualMs, expectedMs: Math.max(1, Math.round(actualMs * factor))};
}

function normal(random: Random): number {
	return (
		Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
	);
}
