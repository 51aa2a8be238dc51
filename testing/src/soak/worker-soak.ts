import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom, type Random} from '@verbenarouter/core';
import {isRunning, killProcess, stopAsPlatform} from '../pool/late-process.js';
import {OpenConnection, type SentRequest} from '../pool/open-connection.js';
import {PoolInstallation} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';
import {type RecordedRun, type TaskBehavior} from '../pool/worker-stand-in.js';
import {between, groupBy, type SoakResult} from './soak-support.js';

/** Size of a soak of workers that crash and change their capacity. */
export type WorkerSoakOptions = {
	readonly seed: number;
	/** Time in which jobs are submitted and processes are killed or stopped. */
	readonly durationMs: number;
	readonly entryVmsPerZone: number;
	readonly workersPerZone: number;
	/** Connections that callers keep open to each entry VM. */
	readonly connectionsPerEntryVm: number;
};

/** What one seed has shown. */
export type WorkerSoakResult = SoakResult & {
	/** Worker processes that tasks have ended. */
	readonly crashCount: number;
	/** Entry VMs that were killed or stopped. */
	readonly lossCount: number;
};

const processorMillis = 64_000;
const runTimeMs = {min: 10, max: 700};
const needsMillis = {min: 3000, max: 30_000};
const requestIntervalMs = {min: 50, max: 500};
const crashingShare = 0.04;
/** Time after which a caller sends a request without a result again, to another entry VM. */
const resendDelayMs = 1300;
const lossIntervalMs = {min: 1500, max: 4000};
/** Share of the entry VMs that are lost without a signal that they can handle. */
const killedShare = 0.6;
const stopGraceMs = 6000;
const resizeIntervalMs = {min: 300, max: 1500};
/** Time by which all leaders must have noticed a smaller capacity: the longest gap of contact and one interval of heartbeats. */
const capacityNoticeMs = 4500;
/** Further starts of a task, after three workers have crashed under it, that break the users' rule. */
const brokenBudgetStarts = 3;
const budgetCrashes = 3;

type SentJob = {
	readonly id: string;
	readonly crashesWorker: boolean;
	/** The request and its copies. */
	readonly attempts: readonly SentRequest[];
};

/**
 * Runs one seed: submits jobs, some of which crash the workers that start them, to workers that do not guard their capacity,
 * which shrinks and grows, while entry VMs are killed or stopped; checks what callers and workers have seen.
 */
export async function runWorkerSoak(
	options: WorkerSoakOptions,
): Promise<WorkerSoakResult> {
	const random = seededRandom(options.seed);
	const installation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone: options.entryVmsPerZone,
		workersPerZone: options.workersPerZone,
		processorMillis,
		guardsCapacity: false,
	});
	const callers = new AbortController();
	try {
		await installation.start();
		const load = installation.entryVms.flatMap((_, index) =>
			Array.from({length: options.connectionsPerEntryVm}, async () =>
				submitUntilAborted(
					installation,
					index,
					seededRandom(random() * 1e9),
					callers.signal,
				),
			),
		);
		const resizes = resizeUntilAborted(
			installation,
			seededRandom(random() * 1e9),
			callers.signal,
		);
		const lossCount = await loseEntryVms(
			installation,
			options.durationMs,
			random,
		);
		callers.abort();
		const jobsByCaller = await Promise.all(load);
		await resizes;
		return {
			...check(installation, options.seed, jobsByCaller.flat()),
			lossCount,
		};
	} finally {
		callers.abort();
		installation.close();
	}
}

/** Submits jobs on a connection to one entry VM, and sends those without a result once more on one to the next entry VM. */
async function submitUntilAborted(
	installation: PoolInstallation,
	entryVmIndex: number,
	random: Random,
	signal: AbortSignal,
): Promise<readonly SentJob[]> {
	const {entryVms} = installation;
	const connections = [0, 1].map(
		(offset) =>
			new OpenConnection(entryVms[(entryVmIndex + offset) % entryVms.length]!),
	);
	const jobs: SentJob[] = [];
	while (!signal.aborted) {
		const id = installation.newId();
		const crashesWorker = random() < crashingShare;
		const task: TaskBehavior = {
			runMs: crashesWorker ? 10 : Math.round(between(runTimeMs, random())),
			needsMillis: Math.round(between(needsMillis, random())),
			crashesWorker,
		};
		const count = crashesWorker ? 1 : 1 + Math.floor(random() * 3);
		// eslint-disable-next-line no-await-in-loop -- one request after another
		const first = await connections[0]!.submit(id, task, count);
		const attempts = [first];
		if ([0, 502, 504].includes(first.response.status)) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(resendDelayMs);
			// eslint-disable-next-line no-await-in-loop
			attempts.push(await connections[1]!.submit(id, task, count));
		}

		jobs.push({id, crashesWorker, attempts});
		// eslint-disable-next-line no-await-in-loop
		await sleep(between(requestIntervalMs, random()));
	}

	for (const connection of connections) {
		connection.close();
	}

	return jobs;
}

/** Changes the capacity of one worker after another. */
async function resizeUntilAborted(
	installation: PoolInstallation,
	random: Random,
	signal: AbortSignal,
): Promise<void> {
	while (!signal.aborted) {
		const {workers} = installation;
		const worker = workers[Math.floor(random() * workers.length)]!;
		worker.resize(
			Math.round(processorMillis * (0.3 + 0.7 * random())),
			capacityNoticeMs,
		);
		installation.registerWorkers();
		// eslint-disable-next-line no-await-in-loop -- one change after another
		await sleep(between(resizeIntervalMs, random()));
	}
}

/** Kills or stops entry VMs, also while others are down, and starts each again; returns how many. */
async function loseEntryVms(
	installation: PoolInstallation,
	durationMs: number,
	random: Random,
): Promise<number> {
	const losses: Array<Promise<void>> = [];
	const down = new Set<string>();
	const endsAtMs = performance.now() + durationMs;
	while (performance.now() < endsAtMs) {
		// eslint-disable-next-line no-await-in-loop -- losses begin one after another
		await sleep(between(lossIntervalMs, random()));
		const candidates = installation.entryVms.filter(
			({name, child}) => !down.has(name) && isRunning(child),
		);
		const entryVm = candidates[Math.floor(random() * candidates.length)];
		const isKilled = random() < killedShare;
		if (entryVm !== undefined) {
			down.add(entryVm.name);
			losses.push(
				(async () => {
					await (isKilled
						? killProcess(entryVm.child)
						: stopAsPlatform(entryVm.child, stopGraceMs));
					installation.restart(entryVm);
					await installation.waitUntilReady(entryVm);
					down.delete(entryVm.name);
				})(),
			);
		}
	}

	await Promise.all(losses);
	return losses.length;
}

function check(
	installation: PoolInstallation,
	seed: number,
	jobs: readonly SentJob[],
): Omit<WorkerSoakResult, 'lossCount'> {
	const runs = collectRuns(installation);
	const runsByTask = groupBy(runs, ({task}) => task);
	const runsByJob = groupBy(runs, ({task}) => task.split('.')[0] ?? '');
	const failures = [
		...findOverlappingTasks(runs).map((task) => `two runs at once: ${task}`),
		...[...runsByTask]
			.filter(([, taskRuns]) => countStartsBeyondBudget(taskRuns) > 0)
			.map(
				([task, taskRuns]) =>
					`${taskRuns.length} starts of a task that crashes workers: ${task}`,
			),
		...installation.workers
			.filter(({largestExcessMillis}) => largestExcessMillis > 0)
			.map(
				({options, largestExcessMillis}) =>
					`${options.id} over its capacity by ${largestExcessMillis}`,
			),
		...jobs.flatMap((job) =>
			findWrongAnswers(job, runsByJob.get(job.id) ?? []),
		),
	];
	const sent = jobs.flatMap(({attempts}) => attempts);
	return {
		seed,
		requestCount: sent.length,
		statuses: Object.fromEntries(
			[...groupBy(sent, ({response}) => response.status)].map(
				([status, requests]) => [status, requests.length],
			),
		),
		crashCount: installation.workers.reduce(
			(sum, worker) => sum + worker.crashCount,
			0,
		),
		failures,
		lines:
			failures.length === 0
				? []
				: installation.entryVms.flatMap(({lines}) => lines),
	};
}

/** Counts the starts of a task by which it exceeds what the users' rule allows after workers have crashed under it. */
function countStartsBeyondBudget(runs: readonly RecordedRun[]): number {
	const crashes = runs
		.filter(({outcome}) => outcome === 'crashed')
		.map(({endedAtMs = Number.POSITIVE_INFINITY}) => endedAtMs)
		.toSorted((left, right) => left - right);
	const spentAtMs = crashes[budgetCrashes - 1] ?? Number.POSITIVE_INFINITY;
	const furtherStarts = runs.filter(
		({startedAtMs}) => startedAtMs > spentAtMs,
	).length;
	return Math.max(0, furtherStarts - brokenBudgetStarts + 1);
}

/** Returns what is wrong with the answers to a job and its copies. */
function findWrongAnswers(
	{id, crashesWorker, attempts}: SentJob,
	runs: readonly RecordedRun[],
): readonly string[] {
	const bodies = attempts.map(({response}) => response.body);
	const crashesByTask = [...groupBy(runs, ({task}) => task).values()].map(
		(taskRuns) => taskRuns.filter(({outcome}) => outcome === 'crashed').length,
	);
	const description = `${id}, ${crashesWorker ? 'crashing' : 'innocent'}, ${runs.length} runs, answers ${attempts.map(({response}) => response.status).join(' ')}`;
	return [
		...(bodies.some((body) => body.includes('"failed"')) &&
		!crashesByTask.some((count) => count >= 2)
			? [`failed without two crashes: ${description}`]
			: []),
		...(bodies.some((body) => body.includes('"completed"')) &&
		!runs.some(({outcome}) => outcome === 'done')
			? [`not its own answer: ${description}`]
			: []),
		...(attempts.every(({response}) => [429, 503].includes(response.status)) &&
		runs.length > 0
			? [`refused and run: ${description}`]
			: []),
	];
}
