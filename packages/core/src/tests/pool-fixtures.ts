import {BestFit} from '../worker-selection.js';
import {type DesiredState} from '../desired-state.js';
import {type LostRun} from '../lost-runs.js';
import {DeclaredTimeEstimator} from '../run-time-estimator.js';
import {type PoolAnswer, type PoolJob} from '../pool-job.js';
import {ObjectiveOrder, type QueueOrder} from '../pool-queue.js';
import {type PoolDecision} from '../pool-decision.js';
import {PoolScheduler} from '../pool-scheduler.js';
import {
	type ReportedEnd,
	type ReportedRun,
	type WorkerEntry,
} from '../pool-worker.js';
import {
	type HoldCommand,
	type CommandOutcome,
	type StartCommand,
	type StopCommand,
} from '../worker-command.js';

/** Creates the entry of a ready worker with 64 cores in zone-a. */
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

/** Creates a job whose tasks need 27 cores for 100 ms each, so that a worker has room for two. */
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

/** Creates a desired state with three queues of priorities 0, 1 and 2. */
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

/** A scheduler that records its commands, answers and decisions; tests supply the outcomes of the commands. */
export class SchedulerFixture {
	readonly holds: HoldCommand[] = [];
	readonly starts: StartCommand[] = [];
	readonly stops: StopCommand[] = [];
	readonly answers: Array<{
		readonly receiver: string;
		readonly id: string;
		readonly answer: PoolAnswer;
	}> = [];

	readonly fencedZones: Array<{readonly zone: string; readonly token: number}> =
		[];

	readonly decisions: PoolDecision[] = [];
	readonly completedTaskReports: Array<{
		readonly receiver: string;
		readonly id: string;
		readonly doneTasks: readonly string[];
	}> = [];

	readonly untouchedReports: Array<{
		readonly receiver: string;
		readonly id: string;
		readonly attempt: string;
	}> = [];

	readonly lostRunReports: Array<{
		readonly receivers: readonly string[];
		readonly lostRuns: readonly LostRun[];
	}> = [];

	readonly scheduler: PoolScheduler;

	constructor(
		zones: readonly string[] = ['zone-a'],
		queueOrder: QueueOrder = new ObjectiveOrder(),
		requestFlush?: () => void,
	) {
		this.scheduler = new PoolScheduler({
			...(requestFlush === undefined ? {} : {requestFlush}),
			zones,
			queueOrder,
			workerSelection: new BestFit(),
			estimates: new DeclaredTimeEstimator(),
			commandSender: {
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
				sendAnswer: (receiver, id, answer) => {
					this.answers.push({receiver, id, answer});
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					this.completedTaskReports.push({receiver, id, doneTasks});
				},
				sendUntouched: (receiver, id, attempt) => {
					this.untouchedReports.push({receiver, id, attempt});
				},
				sendLostRuns: (receivers, lostRuns) => {
					this.lostRunReports.push({receivers, lostRuns});
				},
				handleFencedZone: (zone, token) => {
					this.fencedZones.push({zone, token});
				},
				logDecision: (decision) => {
					this.decisions.push(decision);
				},
			},
		});
		this.scheduler.applyDesiredState(desiredStateFixture());
	}

	/** Starts to lead zone-a with workers that have all reported that nothing runs. */
	leadIdleWorkers(workers: readonly WorkerEntry[], now: number): void {
		this.scheduler.updateWorkers(workers, now);
		this.scheduler.startLeadingZone('zone-a', 7, now);
		for (const {id} of workers) {
			this.receiveReport(id, now);
		}
	}

	/** Passes a worker's report, with these running and ended runs, to the scheduler. */
	receiveReport(
		worker: string,
		now: number,
		content: {
			readonly running?: readonly ReportedRun[];
			readonly ended?: readonly ReportedEnd[];
			readonly bornMs?: number;
			/** Time on the worker's clock, which is that of the leader unless it is given. */
			readonly clockMs?: number;
			readonly sentAtMs?: number;
			readonly fencingToken?: number;
		} = {},
	): void {
		this.scheduler.handleHoldOutcome(
			worker,
			{
				sentAtMs: content.sentAtMs ?? now,
				fencingToken: content.fencingToken ?? this.scheduler.pool.token,
			},
			{
				kind: 'done',
				clockMs: content.clockMs ?? now,
				report: {
					clockMs: content.clockMs ?? now,
					bornMs: content.bornMs ?? 1,
					running: content.running ?? [],
					ended: content.ended ?? [],
				},
			},
			now,
		);
	}

	/** Passes a worker's answer to a start command to the scheduler; the default outcome is success. */
	answerStart(
		start: StartCommand,
		now: number,
		outcome?: CommandOutcome,
	): void {
		this.scheduler.handleStartOutcome(
			start.worker.id,
			start.task,
			outcome ?? {kind: 'done', clockMs: now},
			now,
		);
	}

	/** Calls the scheduler's tick every 20 ms from `fromMs` to `toMs`. */
	tickUntil(fromMs: number, toMs: number): void {
		for (let now = fromMs; now <= toMs; now += 20) {
			this.scheduler.tick(now);
		}
	}
}
