/** Workers, jobs and a scheduler on fake workers, for tests of the pool. */
import {BestFit} from '../best-fit.js';
import {type DesiredState} from '../desired-state.js';
import {DeclaredTimeEstimator} from '../run-time-estimator.js';
import {type PoolAnswer, type PoolJob} from '../pool-job.js';
import {ObjectiveOrder, type QueueOrder} from '../pool-queue.js';
import {type PoolDecision} from '../pool-decision.js';
import {PoolScheduler} from '../pool-scheduler.js';
import {
	type ListedEnd,
	type ListedRun,
	type WorkerEntry,
} from '../pool-worker.js';
import {
	type HoldOrder,
	type OrderOutcome,
	type StartOrder,
	type StopOrder,
} from '../worker-order.js';

/** A ready worker of 64 cores in zone-a. */
export function workerFixture(
	id: string,
	change: Partial<WorkerEntry> = {},
): WorkerEntry {
	return {
		id,
		service: 'menu',
		address: `${id}:80`,
		zone: 'zone-a',
		state: 'ready',
		capacity: {processorMillis: 64_000, memoryMb: 131_072, accelerators: 0},
		labels: ['a', 'r1-1'],
		bornMs: 1,
		...change,
	};
}

/** A job of tasks that take 27 cores for 100 ms each. */
export function poolJobFixture(
	id: string,
	taskCount = 1,
	change: Partial<PoolJob> & {
		readonly runMs?: number;
		readonly processorMillis?: number;
	} = {},
): PoolJob {
	const {runMs = 100, processorMillis = 27_000, ...rest} = change;
	return {
		id,
		queue: 'macro-check',
		spec: 'text',
		attempt: `entry/${id}`,
		waitedMs: 0,
		patienceMs: 5000,
		tasks: Array.from({length: taskCount}, (_, index) => ({
			name: `${id}.0.0.${index}`,
			needs: {processorMillis, memoryMb: 64, accelerators: 0},
			declaredMs: runMs,
		})),
		...rest,
	};
}

/** A desired state with three queues of rising priority numbers. */
export function desiredStateFixture(version = 1): DesiredState {
	return {
		version,
		services: ['menu'],
		limits: {
			bodyBytes: 262_144,
			headerBytes: 16_384,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		queues: ['macro-check', 'window-confirm', 'plan-rebuild'].map(
			(name, priority) => ({
				name,
				priority,
				host: 'kitchen.example',
				pathPrefix: `/${name}/`,
				service: 'menu',
				mostAttempts: 3,
				stretch: 1.6,
				latencyMs: 60,
			}),
		),
	};
}

/** A scheduler whose orders are recorded; tests give the outcomes. */
export class SchedulerFixture {
	readonly holds: HoldOrder[] = [];
	readonly starts: StartOrder[] = [];
	readonly stops: StopOrder[] = [];
	readonly answers: Array<{
		readonly receiver: string;
		readonly id: string;
		readonly answer: PoolAnswer;
	}> = [];

	readonly fences: Array<{readonly zone: string; readonly token: number}> = [];
	readonly decisions: PoolDecision[] = [];
	readonly progress: Array<{
		readonly receiver: string;
		readonly id: string;
		readonly doneTasks: readonly string[];
	}> = [];

	readonly scheduler: PoolScheduler;

	constructor(
		zones: readonly string[] = ['zone-a'],
		order: QueueOrder = new ObjectiveOrder(),
	) {
		this.scheduler = new PoolScheduler({
			zones,
			order,
			fit: new BestFit(),
			estimates: new DeclaredTimeEstimator(),
			orders: {
				hold: (hold) => {
					this.holds.push(hold);
				},
				start: (start) => {
					this.starts.push(start);
				},
				stop: (stop) => {
					this.stops.push(stop);
				},
			},
			output: {
				answer: (receiver, id, answer) => {
					this.answers.push({receiver, id, answer});
				},
				progressed: (receiver, id, doneTasks) => {
					this.progress.push({receiver, id, doneTasks});
				},
				fenced: (zone, token) => {
					this.fences.push({zone, token});
				},
				decided: (decision) => {
					this.decisions.push(decision);
				},
			},
		});
		this.scheduler.configure(desiredStateFixture());
	}

	/** Leads zone-a with workers that have reported nothing running. */
	lead(workers: readonly WorkerEntry[], now: number): void {
		this.scheduler.updateWorkers(workers, now);
		this.scheduler.lead('zone-a', 7, now);
		for (const {id} of workers) {
			this.report(id, now);
		}
	}

	/** A worker answers its hold with lists of runs. */
	report(
		worker: string,
		now: number,
		lists: {
			readonly running?: readonly ListedRun[];
			readonly ended?: readonly ListedEnd[];
			readonly bornMs?: number;
			readonly sentAtMs?: number;
		} = {},
	): void {
		this.scheduler.holdAnswered(
			worker,
			lists.sentAtMs ?? now,
			{
				kind: 'done',
				clockMs: now,
				report: {
					clockMs: now,
					bornMs: lists.bornMs ?? 1,
					running: lists.running ?? [],
					ended: lists.ended ?? [],
				},
			},
			now,
		);
	}

	/** A worker answers a start order. */
	started(start: StartOrder, now: number, outcome?: OrderOutcome): void {
		this.scheduler.startAnswered(
			start.worker.id,
			start.task,
			outcome ?? {kind: 'done', clockMs: now},
			now,
		);
	}

	/** Lets time pass in ticks of 20 ms. */
	tickUntil(fromMs: number, toMs: number): void {
		for (let now = fromMs; now <= toMs; now += 20) {
			this.scheduler.tick(now);
		}
	}
}
