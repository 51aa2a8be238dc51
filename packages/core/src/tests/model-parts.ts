import {type PoolScheduler} from '../pool-scheduler.js';
import {
	type ReportedEnd,
	type RunEndStatus,
	type WorkerEntry,
} from '../pool-worker.js';
import {type Random} from '../seeded-random.js';
import {
	type CommandOutcome,
	type HoldCommand,
	type StartCommand,
	type StopCommand,
	type WorkerCommandSender,
} from '../worker-command.js';

const commandTimeoutMs = 50;
const reportTimeoutMarginMs = 60;
const workerStopMs = 15;
const maxLeaseMs = 1000;

/** Two runs of one task that were active at the same time on two workers. */
export type Overlap = {
	readonly atMs: number;
	readonly task: string;
	readonly runs: ReadonlyArray<{
		readonly worker: string;
		readonly run: number;
		readonly starter: string;
	}>;
};

type ActiveRun = {
	readonly run: number;
	readonly starter: string;
	readonly endsAtMs: number;
	readonly how: RunEndStatus;
};

/** Calls handlers in the order of their times. */
export class EventQueue {
	now = 0;
	#sequence = 0;
	readonly #events: Array<{
		readonly atMs: number;
		readonly sequence: number;
		readonly run: () => void;
	}> = [];

	add(atMs: number, run: () => void): void {
		this.#sequence += 1;
		const event = {atMs, sequence: this.#sequence, run};
		let low = 0;
		let high = this.#events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#events[middle]!.atMs > atMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#events.splice(low, 0, event);
	}

	runUntil(endMs: number): void {
		for (;;) {
			const event = this.#events.at(-1);
			if (event === undefined || event.atMs > endMs) {
				return;
			}

			this.#events.pop();
			this.now = Math.max(this.now, event.atMs);
			event.run();
		}
	}
}

/** A worker that keeps the highest fencing token, obeys leases and lists its runs and their ends. */
export class ModelWorker {
	readonly runs = new Map<string, ActiveRun>();
	#highestToken = 0;
	#leaseExpiresAtMs = 0;
	#endCount = 0;
	#ended: readonly ReportedEnd[] = [];
	readonly #lastRuns = new Map<string, number>();
	#waiting: ReadonlyArray<() => void> = [];
	/** Time at which the worker's clock showed 0. */
	#clockStartMs = 0;

	constructor(
		public entry: WorkerEntry,
		readonly world: ModelWorld,
		/** Speed of the worker's clock, by which its leases are measured; less than 1 for a slow one. */
		readonly clockRate = 1,
	) {}

	get #clockMs(): number {
		return (this.world.events.now - this.#clockStartMs) * this.clockRate;
	}

	get #lapsesAtMs(): number {
		return this.#clockStartMs + this.#leaseExpiresAtMs / this.clockRate;
	}

	/** Starts the worker's process anew: it runs nothing, and has seen no fencing token. */
	restart(): void {
		const {now} = this.world.events;
		this.entry = {...this.entry, bornMs: now};
		this.#clockStartMs = now;
		this.#highestToken = 0;
		this.#leaseExpiresAtMs = 0;
		this.#endCount = 0;
		this.#ended = [];
		this.#waiting = [];
		this.runs.clear();
		this.#lastRuns.clear();
	}

	/** Ends the runs whose time has come or whose lease has expired. */
	update(): void {
		const {now} = this.world.events;
		const lapsesAtMs = this.#lapsesAtMs;
		for (const [task, {endsAtMs, how}] of this.runs) {
			if (now >= lapsesAtMs && endsAtMs > lapsesAtMs) {
				this.#end(task, 'lapsed');
			} else if (now >= endsAtMs) {
				this.#end(task, how);
			}
		}
	}

	hold(command: HoldCommand, reply: (outcome: CommandOutcome) => void): void {
		this.update();
		if (command.fencingToken < this.#highestToken) {
			reply(this.#refuse('fenced'));
			return;
		}

		this.#highestToken = command.fencingToken;
		this.#extendLease(command.leaseExpiresAtMs ?? 0);
		this.#ended = this.#ended.filter(
			({number}) => number > command.acknowledgedEndNumber,
		);
		let hasReplied = false;
		const {bornMs} = this.entry;
		const respond = () => {
			if (hasReplied || bornMs !== this.entry.bornMs) {
				return;
			}

			hasReplied = true;
			this.update();
			const clockMs = this.#clockMs;
			reply({
				kind: 'done',
				clockMs,
				report: {
					clockMs,
					bornMs: this.entry.bornMs,
					running: [...this.runs].map(([task, {run}]) => ({task, run})),
					ended: this.#ended,
				},
			});
		};

		if (this.#ended.length > 0 || command.maxReportDelayMs === 0) {
			respond();
		} else {
			this.#waiting = [...this.#waiting, respond];
			this.world.events.add(
				this.world.events.now + command.maxReportDelayMs,
				respond,
			);
		}
	}

	start(command: StartCommand, starter: string, runMs: number): CommandOutcome {
		this.update();
		const {now} = this.world.events;
		if (command.fencingToken < this.#highestToken) {
			return this.#refuse('fenced');
		}

		this.#highestToken = command.fencingToken;
		if (command.leaseExpiresAtMs <= this.#clockMs) {
			return this.#refuse('late');
		}

		const active = this.runs.get(command.task);
		if (active?.run === command.run) {
			this.#extendLease(command.leaseExpiresAtMs);
			return {kind: 'done', clockMs: this.#clockMs};
		}

		if (
			active !== undefined ||
			command.run <= (this.#lastRuns.get(command.task) ?? 0)
		) {
			return this.#refuse('old-run');
		}

		if (this.runs.size > 1) {
			return this.#refuse('no-room');
		}

		this.#extendLease(command.leaseExpiresAtMs);
		this.runs.set(command.task, {
			run: command.run,
			starter,
			endsAtMs: now + runMs,
			how: 'done',
		});
		this.world.recordStart(this, command);
		this.#scheduleUpdate(now + runMs);
		this.#scheduleUpdate(this.#lapsesAtMs);
		return {kind: 'done', clockMs: this.#clockMs};
	}

	stop({task, run, fencingToken}: StopCommand): CommandOutcome {
		this.update();
		const {now} = this.world.events;
		if (fencingToken < this.#highestToken) {
			return this.#refuse('fenced');
		}

		this.#highestToken = fencingToken;
		this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
		const active = this.runs.get(task);
		if (active?.run === run && active.endsAtMs > now + workerStopMs) {
			this.runs.set(task, {
				...active,
				endsAtMs: now + workerStopMs,
				how: 'stopped',
			});
			this.#scheduleUpdate(now + workerStopMs);
		}

		return {kind: 'done', clockMs: this.#clockMs};
	}

	#refuse(reason: 'fenced' | 'old-run' | 'late' | 'no-room'): CommandOutcome {
		return {kind: 'refused', reason, clockMs: this.#clockMs};
	}

	#extendLease(untilMs: number): void {
		this.#leaseExpiresAtMs = Math.max(
			this.#leaseExpiresAtMs,
			Math.min(untilMs, this.#clockMs + maxLeaseMs),
		);
		if (this.runs.size > 0) {
			this.#scheduleUpdate(this.#lapsesAtMs);
		}
	}

	#scheduleUpdate(atMs: number): void {
		this.world.events.add(atMs, () => {
			this.update();
		});
	}

	#end(task: string, how: RunEndStatus): void {
		const active = this.runs.get(task);
		if (active === undefined) {
			return;
		}

		this.runs.delete(task);
		this.world.recordEnd?.(this, {task, run: active.run, how});
		this.#lastRuns.set(
			task,
			Math.max(active.run, this.#lastRuns.get(task) ?? 0),
		);
		this.#endCount += 1;
		this.#ended = [
			...this.#ended,
			{number: this.#endCount, task, run: active.run, how},
		];
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const respond of waiting) {
			respond();
		}
	}
}

/** What workers and the commands to them need of a model. */
export type ModelWorld = {
	readonly events: EventQueue;
	readonly random: Random;
	readonly workers: ReadonlyMap<string, ModelWorker>;
	readonly settings: {
		/** Probability that the outcome of a command to a worker is lost. */
		readonly lossProbability: number;
	};
	/** Draws the delay of a message. */
	drawDelayMs(): number;
	/** Returns the delay of a command to a worker, `undefined` if it does not arrive. */
	drawCommandDelayMs(sender: string, worker: string): number | undefined;
	/** Returns the time until what an entry VM sends now leaves, if it stands still within a turn. */
	takeSendDelayMs?(sender: string, isStart: boolean): number;
	runTimeOf(task: string): number;
	recordStart(worker: ModelWorker, command: StartCommand): void;
	recordEnd?(worker: ModelWorker, end: Omit<ReportedEnd, 'number'>): void;
};

/** Sends the commands of one entry VM to workers; they may be delayed, and their outcomes lost. */
export class ModelCommandSender implements WorkerCommandSender {
	#commandCount = 0;

	constructor(
		readonly name: string,
		readonly world: ModelWorld,
		/** Calls a handler once the entry VM is not stalled; `stream` is that of the answer that it handles. */
		readonly handle: (run: () => void, stream?: string) => void,
		readonly findScheduler: () => PoolScheduler,
	) {}

	get #now(): number {
		return this.world.events.now;
	}

	hold(command: HoldCommand): void {
		const sent = {sentAtMs: this.#now, fencingToken: command.fencingToken};
		this.#send(
			command.worker,
			{
				timeoutMs: command.maxReportDelayMs + reportTimeoutMarginMs,
				isStart: false,
			},
			(worker, reply) => {
				worker.hold(command, reply);
			},
			(outcome) => {
				this.findScheduler().handleHoldOutcome(
					command.worker.id,
					sent,
					outcome,
					this.#now,
				);
			},
		);
	}

	start(command: StartCommand): void {
		this.#send(
			command.worker,
			{timeoutMs: commandTimeoutMs, isStart: true},
			(worker, reply) => {
				reply(
					worker.start(command, this.name, this.world.runTimeOf(command.task)),
				);
			},
			(outcome) => {
				this.findScheduler().handleStartOutcome(
					command.worker.id,
					command.task,
					outcome,
					this.#now,
				);
			},
		);
	}

	stop(command: StopCommand): void {
		this.#send(
			command.worker,
			{timeoutMs: commandTimeoutMs, isStart: false},
			(worker, reply) => {
				reply(worker.stop(command));
			},
			(outcome) => {
				this.findScheduler().handleStopOutcome(
					command.worker.id,
					command.task,
					outcome,
					this.#now,
				);
			},
		);
	}

	/** Sends a command, and handles its outcome or its timeout. */
	#send(
		{id}: WorkerEntry,
		{
			timeoutMs,
			isStart,
		}: {readonly timeoutMs: number; readonly isStart: boolean},
		execute: (
			worker: ModelWorker,
			reply: (outcome: CommandOutcome) => void,
		) => void,
		handleOutcome: (outcome: CommandOutcome) => void,
	): void {
		const {events, random, settings, workers} = this.world;
		let isSettled = false;
		const settle = (outcome: CommandOutcome, stream?: string) => {
			this.handle(() => {
				if (!isSettled) {
					isSettled = true;
					handleOutcome(outcome);
				}
			}, stream);
		};

		const sentAtMs =
			this.#now + (this.world.takeSendDelayMs?.(this.name, isStart) ?? 0);
		events.add(sentAtMs + timeoutMs, () => {
			// A late process reads its sockets before it takes a command for unanswered.
			this.handle(() => {
				events.add(this.#now, () => {
					settle({kind: 'silent'});
				});
			});
		});
		const delayMs = this.world.drawCommandDelayMs(this.name, id);
		if (delayMs === undefined) {
			return;
		}

		this.#commandCount += 1;
		const stream = `${id} ${this.#commandCount}`;
		events.add(sentAtMs + delayMs, () => {
			execute(workers.get(id)!, (outcome) => {
				if (random() >= settings.lossProbability) {
					events.add(events.now + this.world.drawDelayMs(), () => {
						settle(outcome, stream);
					});
				}
			});
		});
	}
}

/** Returns the runs of a task that are active on workers now. */
export function findActiveRuns(
	task: string,
	workers: ReadonlyMap<string, ModelWorker>,
): Overlap['runs'] {
	return [...workers.values()].flatMap((worker) => {
		worker.update();
		const active = worker.runs.get(task);
		return active === undefined
			? []
			: [{worker: worker.entry.id, run: active.run, starter: active.starter}];
	});
}
