/**
 * Measures the processor time that the scheduler takes for 600 jobs a second, by number of workers and by part, without
 * log lines and network: `node testing/dist/measure-scheduler.js`.
 */
import process from 'node:process';
import {
	BestFit,
	LearnedTimeEstimator,
	ObjectiveOrder,
	PoolScheduler,
	seededRandom,
	type Random,
	type HoldCommand,
	type PoolJob,
	type ReportedEnd,
	type StartCommand,
	type WorkerEntry,
} from '@verbenarouter/core';

const jobsPerSecond = 600;
const meanTasksPerJob = 3.6;
const maxTasksPerJob = 8;
const tasksPerWorker = 2;
const warmUpMs = 1500;
const measuredMs = 2000;
const tickIntervalMs = 20;
const repetitions = 2;
const commandDelayMs = 1;

type Load = {
	readonly name: string;
	/** Demand for worker time as a share of what the workers have. */
	readonly demand: number;
	/** Constant part of the latency objective, which bounds the queue. */
	readonly latencyMs: number;
};

const loads: readonly Load[] = [
	{name: 'room for all', demand: 0.6, latencyMs: 60},
	{name: 'overload', demand: 1.4, latencyMs: 500},
];

type Part = 'submit' | 'startOutcome' | 'report' | 'tick';

type ActiveRun = {
	readonly task: string;
	readonly run: number;
	readonly endMs: number;
};

/** A worker that ends each run after the run time and reports when a run has ended. */
class SimulatedWorker {
	runs: readonly ActiveRun[] = [];
	ends: readonly ReportedEnd[] = [];
	endCount = 0;
	hold: {readonly command: HoldCommand; readonly sentAtMs: number} | undefined;

	constructor(readonly entry: WorkerEntry) {}

	/** Ends runs that are due. */
	advance(now: number): void {
		const due = this.runs.filter(({endMs}) => endMs <= now);
		if (due.length === 0) {
			return;
		}

		this.runs = this.runs.filter(({endMs}) => endMs > now);
		for (const {task, run} of due) {
			this.endCount += 1;
			this.ends = [
				...this.ends,
				{number: this.endCount, task, run, how: 'done'},
			];
		}
	}

	/** Whether the pending hold command is to be answered now. */
	isReportDue(now: number): boolean {
		return (
			this.hold !== undefined &&
			now > this.hold.sentAtMs &&
			(this.ends.length > 0 ||
				now - this.hold.sentAtMs >= this.hold.command.maxReportDelayMs)
		);
	}
}

/** Plays one load on a number of workers; returns the microseconds by part and what was done in the measured time. */
function playLoad(workerCount: number, load: Load, seed: number) {
	const random = seededRandom(seed);
	const runMs =
		(load.demand * workerCount * tasksPerWorker * 1000) /
		(jobsPerSecond * meanTasksPerJob);
	const workers = new Map(
		Array.from({length: workerCount}, (_, index) => {
			const entry: WorkerEntry = {
				id: `w${index}`,
				service: 'portal',
				address: `w${index}:80`,
				zone: 'zone-a',
				state: 'ready',
				capacity: {processorMillis: 32_000, memoryMb: 131_072, accelerators: 0},
				labels: ['a', `r${index % 20}`],
				bornMs: 1,
			};
			return [entry.id, new SimulatedWorker(entry)] as const;
		}),
	);
	let starts: Array<{
		readonly command: StartCommand;
		readonly sentAtMs: number;
	}> = [];
	const counts = {jobs: 0, starts: 0, reports: 0, completed: 0, refused: 0};
	const microseconds = {submit: 0, startOutcome: 0, report: 0, tick: 0};
	const clock = {now: 100_000};
	const scheduler = new PoolScheduler({
		zones: ['zone-a'],
		queueOrder: new ObjectiveOrder(),
		workerSelection: new BestFit(),
		estimates: new LearnedTimeEstimator(),
		commandSender: {
			hold(command) {
				workers.get(command.worker.id)!.hold = {command, sentAtMs: clock.now};
			},
			start(command) {
				starts.push({command, sentAtMs: clock.now});
				counts.starts += 1;
			},
			stop() {
				throw new Error('nothing is stopped in this measurement');
			},
		},
		output: {
			sendAnswer(_receiver, _id, {kind}) {
				counts[kind === 'completed' ? 'completed' : 'refused'] += 1;
			},
			sendUntouched() {
				throw new Error('unexpected report of an untouched job');
			},
			sendLostRuns() {
				throw new Error('no worker is lost in this measurement');
			},
			sendCompletedTasks() {
				throw new Error('no zone is handed over in this measurement');
			},
			handleFencedZone() {
				throw new Error('no command is fenced in this measurement');
			},
			logDecision() {
				// Log lines are measured by measure-log-line.
			},
		},
	});
	scheduler.applyDesiredState({
		version: 1,
		services: ['portal'],
		limits: {
			bodyBytes: 262_144,
			headerBytes: 16_384,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		queues: [0, 1, 2].map((priority) => ({
			name: `q${priority}`,
			priority,
			host: '',
			pathPrefix: `/q${priority}/`,
			service: 'portal',
			mostAttempts: 3,
			stretch: 1.6,
			latencyMs: load.latencyMs,
		})),
	});
	const measure = (part: Part, call: () => void): void => {
		const before = process.cpuUsage();
		call();
		const {user, system} = process.cpuUsage(before);
		microseconds[part] += user + system;
	};

	const report = (worker: SimulatedWorker): void => {
		const {hold} = worker;
		const acknowledged = hold?.command.acknowledgedEndNumber ?? 0;
		worker.hold = undefined;
		worker.ends = worker.ends.filter(({number}) => number > acknowledged);
		counts.reports += 1;
		const {runs, ends} = worker;
		measure('report', () => {
			scheduler.handleHoldOutcome(
				worker.entry.id,
				{sentAtMs: hold?.sentAtMs ?? clock.now, fencingToken: 7},
				{
					kind: 'done',
					clockMs: clock.now,
					report: {
						clockMs: clock.now,
						bornMs: 1,
						running: runs.map(({task, run}) => ({task, run})),
						ended: ends,
					},
				},
				clock.now,
			);
		});
		worker.ends = [];
	};

	scheduler.updateWorkers(
		[...workers.values()].map(({entry}) => entry),
		clock.now,
	);
	scheduler.startLeadingZone('zone-a', 7, clock.now);
	for (const worker of workers.values()) {
		report(worker);
	}

	const startMs = clock.now;
	let submitted = 0;
	let jobCountSum = 0;
	for (; clock.now < startMs + warmUpMs + measuredMs; clock.now += 1) {
		if (clock.now === startMs + warmUpMs) {
			Object.assign(counts, {
				jobs: 0,
				starts: 0,
				reports: 0,
				completed: 0,
				refused: 0,
			});
			Object.assign(microseconds, {
				submit: 0,
				startOutcome: 0,
				report: 0,
				tick: 0,
			});
			jobCountSum = 0;
		}

		while (submitted < ((clock.now - startMs) * jobsPerSecond) / 1000) {
			submitted += 1;
			counts.jobs += 1;
			const job = createJob(`j${submitted}`, runMs, random);
			measure('submit', () => {
				scheduler.submit(job, 'r1', false, clock.now);
			});
		}

		const due = starts.filter(
			({sentAtMs}) => clock.now - sentAtMs >= commandDelayMs,
		);
		starts = starts.filter(
			({sentAtMs}) => clock.now - sentAtMs < commandDelayMs,
		);
		for (const {command} of due) {
			const worker = workers.get(command.worker.id)!;
			worker.runs = [
				...worker.runs,
				{task: command.task, run: command.run, endMs: clock.now + runMs},
			];
			measure('startOutcome', () => {
				scheduler.handleStartOutcome(
					command.worker.id,
					command.task,
					{kind: 'done', clockMs: clock.now},
					clock.now,
				);
			});
		}

		for (const worker of workers.values()) {
			worker.advance(clock.now);
			if (worker.isReportDue(clock.now)) {
				report(worker);
			}
		}

		if (clock.now % tickIntervalMs === 0) {
			measure('tick', () => {
				scheduler.tick(clock.now);
			});
		}

		jobCountSum += scheduler.jobCount;
	}

	return {
		seed,
		counts,
		microseconds,
		runMs,
		meanJobs: jobCountSum / measuredMs,
	};
}

function createJob(id: string, runMs: number, random: Random): PoolJob {
	const taskCount = Math.min(
		maxTasksPerJob,
		1 + Math.floor(random() * 2 * (meanTasksPerJob - 1) + 0.5),
	);
	return {
		id,
		queue: `q${Math.floor(random() * 3)}`,
		spec: 'text',
		attempt: `r1/${id}`,
		waitedMs: 0,
		patienceMs: 5000,
		tasks: Array.from({length: taskCount}, (_, index) => ({
			name: `${id}.0.0.${index}`,
			needs: {
				processorMillis: 15_000 + Math.floor(random() * 1000),
				memoryMb: 64,
				accelerators: 0,
			},
			declaredMs: runMs,
		})),
	};
}

const [onlyLoad, onlyWorkers] = process.argv.slice(2);
for (const load of loads.filter(({name}) => name === (onlyLoad ?? name))) {
	for (const workerCount of onlyWorkers === undefined
		? [62, 246, 810]
		: [Number(onlyWorkers)]) {
		const plays = Array.from({length: repetitions}, (_, index) =>
			playLoad(workerCount, load, index + 1),
		);
		const [fastest] = plays.toSorted(
			(left, right) =>
				sumParts(left.microseconds) - sumParts(right.microseconds),
		);
		const {counts, microseconds, runMs, meanJobs, seed} = fastest!;
		console.log(
			JSON.stringify({
				load: load.name,
				workers: workerCount,
				seed,
				runMs: Math.round(runMs),
				meanUnansweredJobs: Math.round(meanJobs),
				...counts,
				microsecondsPerJob: round(sumParts(microseconds) / counts.jobs),
				microsecondsPerStart: round(sumParts(microseconds) / counts.starts),
				submitPerJob: round(microseconds.submit / counts.jobs),
				outcomePerStart: round(microseconds.startOutcome / counts.starts),
				reportPerReport: round(microseconds.report / counts.reports),
				perTick: round(microseconds.tick / (measuredMs / tickIntervalMs)),
			}),
		);
	}
}

function sumParts(microseconds: Readonly<Record<Part, number>>): number {
	return Object.values(microseconds).reduce((sum, part) => sum + part, 0);
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
