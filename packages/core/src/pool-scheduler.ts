/**
 * The scheduler of one pool: takes jobs from the entry VMs that received them, places their tasks on workers, and
 * answers each job once. It does no input or output and reads no clock.
 */
import {type FitPolicy} from './best-fit.js';
import {type DesiredState, type QueueSetting} from './desired-state.js';
import {type RunTimeEstimator} from './run-time-estimator.js';
import {misfitOf, projectJobStartMs} from './job-door.js';
import {type PoolDecision} from './pool-decision.js';
import {type NotRunReason, type PoolAnswer, type PoolJob} from './pool-job.js';
import {admit, type QueueOrder} from './pool-queue.js';
import {
	type ListedEnd,
	type ListedRun,
	type PoolWorker,
	type WorkerEntry,
	type WorkerRun,
} from './pool-worker.js';
import {ScheduledJob, type ScheduledTask} from './scheduled-job.js';
import {type OrderOutcome, type WorkerOrders} from './worker-order.js';
import {
	WorkerPool,
	defaultWorkerPoolSettings,
	type RunListener,
	type RunOutcome,
	type WorkerBelief,
	type WorkerPoolSettings,
} from './worker-pool.js';

/** Where the scheduler's decisions go. */
export type SchedulerOutput = {
	/** Sends an answer to the entry VM that waits for it. */
	answer(receiver: string, id: string, answer: PoolAnswer): void;
	/** A job is given up to the next leader, with some of its tasks done. */
	progressed(receiver: string, id: string, doneTasks: readonly string[]): void;
	/** A worker of a zone has refused a token since it has seen a higher one. */
	fenced(zone: string, token: number): void;
	decided(decision: PoolDecision): void;
};

/** Settings of the scheduler. Times are in milliseconds. */
export type SchedulerSettings = {
	/** Time after which the jobs of an entry VM that is out of reach are given up. */
	readonly detachedMs: number;
	/** Time for which answers are kept for copies of a request. */
	readonly answerKeptMs: number;
	/** Most answers that are kept. */
	readonly mostAnswers: number;
	/** A run that takes this many times what is expected tells against its worker. */
	readonly stuckFactor: number;
	/** Shortest time after which a run counts as stuck. */
	readonly stuckMs: number;
};

/** Settings that suit callers which send a lost job again after 1.3 s. */
export const defaultSchedulerSettings: SchedulerSettings = {
	detachedMs: 600,
	answerKeptMs: 30_000,
	mostAnswers: 20_000,
	stuckFactor: 6,
	stuckMs: 400,
};

/** What the scheduler is built from. */
export type SchedulerParts = {
	readonly orders: WorkerOrders;
	readonly output: SchedulerOutput;
	readonly estimates: RunTimeEstimator;
	readonly order: QueueOrder;
	readonly fit: FitPolicy;
	readonly zones: readonly string[];
	readonly settings?: SchedulerSettings;
	readonly poolSettings?: WorkerPoolSettings;
};

const retryWithoutWorkersMs = 2000;
/** Time for an earlier leader's list of workers to come, in milliseconds: it is sent with the first jobs. */
const handOverMs = 40;
/** Share of its objective after which a waiting job is looked at again; refusals until then cost callers little. */
const reviewShare = 0.2;

/** The scheduler of one pool of workers. */
export class PoolScheduler implements RunListener {
	readonly pool: WorkerPool;
	readonly #parts: SchedulerParts;
	readonly #settings: SchedulerSettings;
	readonly #jobs = new Map<string, ScheduledJob>();
	/** Attempts that were answered without a result: whether the job may have run, and when. */
	readonly #closedAttempts = new Map<
		string,
		{readonly mayHaveRun: boolean; readonly atMs: number}
	>();

	readonly #answers = new Map<
		string,
		{readonly answer: PoolAnswer; readonly atMs: number}
	>();

	#state: DesiredState | undefined;
	#now = 0;
	/** Whether anything has changed since the last look for tasks that can start. */
	#mayPlace = true;

	constructor(parts: SchedulerParts) {
		this.#parts = parts;
		this.#settings = parts.settings ?? defaultSchedulerSettings;
		this.pool = new WorkerPool(
			parts.orders,
			this,
			parts.poolSettings ?? defaultWorkerPoolSettings,
		);
	}

	/** Jobs that have no answer yet. */
	get jobCount(): number {
		return this.#jobs.size;
	}

	/** Jobs of a queue of which no task has started. */
	pendingCount(queue: string): number {
		return [...this.#jobs.values()].filter(
			(job) => job.queue.name === queue && !job.hasStarted,
		).length;
	}

	/** Takes in a desired state; an older one than the present is left out. */
	configure(state: DesiredState): void {
		if (this.#state === undefined || state.version > this.#state.version) {
			this.#state = state;
		}
	}

	/** Takes in the platform's list of workers. */
	updateWorkers(entries: readonly WorkerEntry[], now: number): void {
		this.#now = now;
		this.pool.update(entries, now);
		this.#place(now);
	}

	/** Leads the workers of a zone. */
	lead(zone: string, token: number, now: number): void {
		this.#now = now;
		this.pool.lead(zone, token, now);
	}

	/** Stops ordering the workers of zones; without any zone left, all jobs are forgotten unanswered. */
	drop(zones: readonly string[], now: number): void {
		this.#now = now;
		const runs = zones.flatMap((zone) => this.pool.drop(zone, now));
		if (this.pool.zones.length === 0) {
			this.#handOver();
			this.#jobs.clear();
			return;
		}

		for (const run of runs) {
			const job = this.#jobs.get(run.jobId);
			if (job !== undefined) {
				// The new leader of that zone may keep the run alive until it finds that no job claims it.
				this.#giveUp(job, {kind: 'may-have-run', reason: 'worker-lost'}, now);
			}
		}
	}

	/** State of a job that is known here. */
	stateOf(id: string): 'queued' | 'running' | PoolAnswer | undefined {
		const job = this.#jobs.get(id);
		if (job !== undefined) {
			return job.hasStarted ? 'running' : 'queued';
		}

		return this.#answers.get(id)?.answer;
	}

	/**
	 * Takes a job from an entry VM. `isResubmitted` says that it was given to a leader before, which may have started
	 * tasks of it.
	 */
	submit(
		job: PoolJob,
		receiver: string,
		isResubmitted: boolean,
		now: number,
	): void {
		this.#now = now;
		const closed = this.#closedAttempts.get(job.attempt);
		if (closed !== undefined) {
			// The answer is on its way. A resubmitted job may have run under another leader since.
			this.#refuse(
				job,
				receiver,
				isResubmitted || closed.mayHaveRun,
				'overloaded',
				{late: 1},
			);
			return;
		}

		const answered = this.#answers.get(job.id);
		if (answered !== undefined) {
			this.#decided('joined', job.id, 'answered', {});
			this.#parts.output.answer(receiver, job.id, answered.answer);
			return;
		}

		const known = this.#jobs.get(job.id);
		if (known !== undefined) {
			known.receiver = receiver;
			known.detachedAtMs = undefined;
			// Another leader may have had it since this one got it first.
			known.isInDoubt ||= isResubmitted;
			this.#decided('joined', job.id, 'in-progress', {});
			return;
		}

		const queue = this.#state?.queues.find(({name}) => name === job.queue);
		if (queue === undefined) {
			this.#refuse(job, receiver, isResubmitted, 'queue-unknown', {});
			return;
		}

		this.#mayPlace = true;
		this.#take(job, queue, receiver, isResubmitted, now);
		this.#place(now);
	}

	/** The caller of a job no longer waits, or cancels it. Returns whether the job was known and had no answer. */
	cancel(id: string, reason: 'caller-left' | 'cancelled', now: number) {
		this.#now = now;
		const job = this.#jobs.get(id);
		if (job === undefined) {
			return false;
		}

		this.#giveUp(
			job,
			reason === 'cancelled'
				? {kind: 'cancelled'}
				: job.isUntouched
					? {kind: 'not-run', reason}
					: {kind: 'may-have-run', reason},
			now,
		);
		this.#place(now);
		return true;
	}

	/** An entry VM is out of reach; its jobs start nothing more until it resubmits them. */
	receiverLost(receiver: string, now: number): void {
		for (const job of this.#jobs.values()) {
			if (job.receiver === receiver) {
				job.detachedAtMs ??= now;
			}
		}
	}

	startAnswered(
		worker: string,
		task: string,
		outcome: OrderOutcome,
		now: number,
	): void {
		this.#now = now;
		const run = this.pool.workers
			.find(({entry}) => entry.id === worker)
			?.runs.get(task);
		const spec =
			run === undefined ? '' : (this.#jobs.get(run.jobId)?.job.spec ?? '');
		this.pool.startAnswered(worker, task, spec, outcome, now);
		this.#place(now);
	}

	stopAnswered(
		worker: string,
		task: string,
		outcome: OrderOutcome,
		now: number,
	): void {
		this.#now = now;
		this.pool.stopAnswered(worker, task, outcome, now);
	}

	holdAnswered(
		worker: string,
		sentAtMs: number,
		outcome: OrderOutcome,
		now: number,
	): void {
		this.#now = now;
		this.pool.holdAnswered(worker, sentAtMs, outcome, now);
		this.#place(now);
	}

	/** Looks at what has changed with time. */
	tick(now: number): void {
		this.#mayPlace = true;
		this.#now = now;
		this.pool.tick(now);
		for (const worker of this.pool.workers) {
			for (const {orderedAtMs, expectedMs} of worker.runs.values()) {
				worker.pace.goesOn((now - orderedAtMs) / Math.max(1, expectedMs), now);
			}
		}

		for (const job of this.#jobs.values()) {
			this.#tickJob(job, now);
		}

		this.#forgetOld(now);
		this.#place(now);
	}

	runEnded(run: WorkerRun, outcome: RunOutcome, worker: PoolWorker): void {
		this.#mayPlace = true;
		const now = this.#now;
		const job = this.#jobs.get(run.jobId);
		const task = job?.tasks.find(({task: {name}}) => name === run.task);
		const ranMs = now - (run.confirmedAtMs ?? run.orderedAtMs);
		this.#parts.output.decided({
			event: 'run-ended',
			id: run.jobId,
			task: run.task,
			run: run.run,
			worker: worker.entry.id,
			reason: outcome,
			inputs: {
				ranMs: Math.round(ranMs),
				expectedMs: Math.round(run.expectedMs),
			},
		});
		if (outcome === 'done') {
			this.#learn(run, worker, ranMs, job);
		} else if (
			(outcome === 'failed' || outcome === 'lapsed') &&
			worker.health.failed(run.jobId, now)
		) {
			this.workerChanged(worker, 'set-aside');
		}

		if (job !== undefined && task?.worker === worker.entry.id) {
			this.#taskEnded(job, task, outcome, worker, now);
		}
	}

	runFound(listed: ListedRun, worker: PoolWorker): boolean {
		const job = this.#jobs.get(jobIdOf(listed.task));
		const task = job?.tasks.find(({task: {name}}) => name === listed.task);
		if (job === undefined || task?.state !== 'waiting') {
			return false;
		}

		this.#adoptRunning(job, task, listed.run, worker, this.#now);
		return true;
	}

	endFound(end: ListedEnd): boolean {
		const job = this.#jobs.get(jobIdOf(end.task));
		const task = job?.tasks.find(({task: {name}}) => name === end.task);
		if (job === undefined || task?.state !== 'waiting' || end.run <= task.run) {
			return false;
		}

		this.#adoptEnd(job, task, end);
		if (job.isDone) {
			this.#finish(job, {kind: 'completed'}, this.#now);
		}

		return true;
	}

	fenced(zone: string, token: number): void {
		this.#parts.output.fenced(zone, token);
	}

	workerChanged(worker: PoolWorker, belief: WorkerBelief): void {
		this.#mayPlace = true;
		this.#parts.output.decided({
			event: 'worker',
			worker: worker.entry.id,
			reason: belief,
			inputs: {
				runs: worker.runs.size,
				reportAgeMs: Math.round(Math.min(1e9, this.#now - worker.reportedAtMs)),
			},
		});
	}

	/** Drops answers and closed attempts of which no copy can come any more. */
	#forgetOld(now: number): void {
		const {answerKeptMs, mostAnswers} = this.#settings;
		for (const [id, {atMs}] of this.#answers) {
			if (now - atMs <= answerKeptMs && this.#answers.size <= mostAnswers) {
				break;
			}

			this.#answers.delete(id);
		}

		for (const [attempt, {atMs}] of this.#closedAttempts) {
			if (
				now - atMs <= answerKeptMs &&
				this.#closedAttempts.size <= mostAnswers
			) {
				break;
			}

			this.#closedAttempts.delete(attempt);
		}
	}

	/** Tells the receivers of jobs which tasks are done, so that the next leader does not run them again. */
	#handOver(): void {
		for (const {id, receiver, tasks} of this.#jobs.values()) {
			const done = tasks
				.filter(({state}) => state === 'done')
				.map(({task}) => task.name);
			if (done.length > 0) {
				this.#parts.output.progressed(receiver, id, done);
			}
		}
	}

	#take(
		job: PoolJob,
		queue: QueueSetting,
		receiver: string,
		isResubmitted: boolean,
		now: number,
	): void {
		const scheduled = new ScheduledJob(
			job,
			queue,
			receiver,
			({declaredMs}) =>
				this.#parts.estimates.expectedMs({
					classOfWork: queue.name,
					...(declaredMs > 0 ? {declaredMs} : {}),
				}),
			now,
		);
		scheduled.isInDoubt = isResubmitted;
		for (const task of scheduled.waiting) {
			this.#adopt(scheduled, task, now);
		}

		const isLearning = this.pool.isLearning(now);
		const misfit = misfitOf(scheduled, this.pool.workers, now);
		if (!isLearning && misfit !== undefined && scheduled.isUntouched) {
			this.#refuse(job, receiver, false, misfit.reason, misfit);
			return;
		}

		const lastStartMs = isLearning
			? now
			: this.#projectLastStartMs(scheduled, now);
		scheduled.isHeldUp ||= isLearning;
		const admission = admit(scheduled, lastStartMs, now);
		if (admission.kind === 'refused' && scheduled.isUntouched) {
			this.#refuse(job, receiver, false, 'overloaded', {
				waitMs: Math.round(Math.min(1e9, admission.waitMs)),
				slackMs: Math.round(scheduled.keptUntilMs - now),
				waitingJobs: this.#jobs.size,
				retryAfterMs: admission.retryAfterMs,
			});
			return;
		}

		this.#jobs.set(job.id, scheduled);
		this.#decided('admitted', job.id, isResubmitted ? 'resubmitted' : 'new', {
			queue: queue.name,
			stateVersion: this.#state?.version ?? 0,
			tasks: job.tasks.length,
			waitMs: Math.round(Math.min(1e9, admission.waitMs)),
			waitedMs: Math.round(job.waitedMs),
			isLearning: isLearning ? 1 : 0,
			longestMs: Math.round(scheduled.longestMs),
		});
		if (scheduled.isDone) {
			this.#finish(scheduled, {kind: 'completed'}, now);
		}
	}

	#adopt(job: ScheduledJob, task: ScheduledTask, now: number): void {
		const found = this.pool.adopt(task.task.name);
		if (found?.kind === 'running') {
			this.#adoptRunning(job, task, found.run, found.worker, now);
		} else if (found?.kind === 'ended') {
			this.#adoptEnd(job, task, found.end);
		}
	}

	#adoptEnd(
		job: ScheduledJob,
		task: ScheduledTask,
		{run, how}: Pick<ListedEnd, 'run' | 'how'>,
	): void {
		job.hasStarted = true;
		task.run = run;
		task.state = how === 'done' ? 'done' : 'waiting';
		this.#decided('adopted', job.id, how, {task: task.task.name, run});
	}

	#adoptRunning(
		job: ScheduledJob,
		task: ScheduledTask,
		run: number,
		worker: PoolWorker,
		now: number,
	): void {
		job.hasStarted = true;
		task.state = 'placed';
		task.worker = worker.entry.id;
		task.run = run;
		worker.add({
			...newRun(job, task, now),
			state: 'running',
			confirmedAtMs: now,
			sends: 1,
		});
		this.#decided('adopted', job.id, 'running', {
			task: task.task.name,
			run,
			worker: worker.entry.id,
		});
	}

	/** When the last task of a job would start, behind the jobs that go before it. */
	#projectLastStartMs(job: ScheduledJob, now: number): number {
		const ahead = [...this.#jobs.values()].filter(
			(other) =>
				other !== job && this.#parts.order.compare(other, job, now) < 0,
		);
		return projectJobStartMs(job, ahead, this.pool.workers, now);
	}

	#place(now: number): void {
		if (!this.#mayPlace) {
			return;
		}

		this.#mayPlace = false;
		const open = this.pool.workers.filter((worker) => worker.isOpen(now));
		if (open.length === 0) {
			return;
		}

		const waiting = [...this.#jobs.values()]
			.filter(
				(job) =>
					job.detachedAtMs === undefined &&
					job.tasks.some(({state}) => state === 'waiting'),
			)
			.toSorted((left, right) => this.#parts.order.compare(left, right, now));
		if (waiting.length === 0) {
			return;
		}

		let largestFree = largestFreeOf(open);
		for (const job of waiting) {
			const hasRoom = smallestWaitingOf(job) <= largestFree;
			const isInDoubt = job.isInDoubt && now < this.#settledAtMs(job, now);
			if (hasRoom && !isInDoubt && this.#placeJob(job, open, now)) {
				largestFree = largestFreeOf(open);
			}
		}
	}

	/** Time from which no run of a job that an earlier leader had can be unknown here. */
	#settledAtMs(job: ScheduledJob, now: number): number {
		return Math.max(
			job.takenAtMs + handOverMs,
			this.pool.settledAtMs(this.#parts.zones, job.takenAtMs, now),
		);
	}

	#settlesAtMs(job: ScheduledJob, now: number): number {
		return this.pool.settlesAtMs(this.#parts.zones, job.takenAtMs, now);
	}

	/** Starts what fits of a job; returns whether anything did. */
	#placeJob(
		job: ScheduledJob,
		open: readonly PoolWorker[],
		now: number,
	): boolean {
		const ofService = open.filter(
			({entry}) => entry.service === job.queue.service,
		);
		const largestFirst = job.waiting.toSorted(
			(left, right) =>
				right.task.needs.processorMillis - left.task.needs.processorMillis,
		);
		const endsByMs = job.keptUntilMs + job.longestMs;
		let isPlaced = false;
		for (const task of largestFirst) {
			const others = ofService.filter(
				(worker) =>
					worker.entry.id !== task.avoid &&
					(job.hasStarted ||
						now + task.expectedMs * worker.pace.slowness(now) <= endsByMs),
			);
			const worker = this.#parts.fit.choose(
				task.task,
				others.length > 0 || !job.hasStarted ? others : ofService,
				now,
			);
			if (worker !== undefined) {
				this.#startTask(job, task, worker, now);
				isPlaced = true;
			}
		}

		return isPlaced;
	}

	#startTask(
		job: ScheduledJob,
		task: ScheduledTask,
		worker: PoolWorker,
		now: number,
	): void {
		job.hasStarted = true;
		task.state = 'placed';
		task.worker = worker.entry.id;
		task.run += 1;
		this.#parts.output.decided({
			event: 'placed',
			id: job.id,
			task: task.task.name,
			run: task.run,
			worker: worker.entry.id,
			reason: this.#parts.fit.name,
			inputs: {
				waitedMs: Math.round(now - job.arrivedAtMs),
				freeMillis: worker.free.processorMillis,
				needsMillis: task.task.needs.processorMillis,
				expectedMs: Math.round(task.expectedMs),
				reportAgeMs: Math.round(now - worker.reportedAtMs),
			},
		});
		this.pool.start(newRun(job, task, now), job.job.spec, worker, now);
	}

	#taskEnded(
		job: ScheduledJob,
		task: ScheduledTask,
		outcome: RunOutcome,
		worker: PoolWorker,
		now: number,
	): void {
		task.worker = undefined;
		if (outcome === 'done') {
			task.state = 'done';
			if (job.isDone) {
				this.#finish(job, {kind: 'completed'}, now);
			}

			return;
		}

		task.state = 'waiting';
		task.avoid = worker.entry.id;
		task.failures += outcome === 'failed' ? 1 : 0;
		if (task.failures >= job.queue.mostAttempts) {
			this.#giveUp(job, {kind: 'failed', reason: 'attempts-used-up'}, now);
		}
	}

	#tickJob(job: ScheduledJob, now: number): void {
		if (
			job.detachedAtMs !== undefined &&
			now - job.detachedAtMs >= this.#settings.detachedMs
		) {
			this.#decided('given-up', job.id, 'receiver-lost', {
				receiver: job.receiver,
			});
			this.#stopRuns(job, now);
			this.#jobs.delete(job.id);
			return;
		}

		if (job.hasStarted) {
			const isStuck =
				job.isInDoubt &&
				job.waiting.length > 0 &&
				this.#settlesAtMs(job, now) > job.endsByMs;
			if (now > job.endsByMs || isStuck) {
				this.#giveUp(
					job,
					{kind: 'may-have-run', reason: 'deadline-exceeded'},
					now,
				);
			}
		} else if (
			now > job.keptUntilMs ||
			(job.isInDoubt && this.#settlesAtMs(job, now) > job.keptUntilMs) ||
			this.#isHopeless(job, now)
		) {
			this.#giveUp(
				job,
				job.isInDoubt
					? {kind: 'may-have-run', reason: 'leader-lost'}
					: {
							kind: 'not-run',
							reason: 'overloaded',
							retryAfterMs: retryWithoutWorkersMs,
						},
				now,
			);
		}
	}

	/** Looks again whether a job can meet its objective, once it has waited for a part of it. */
	#isHopeless(job: ScheduledJob, now: number): boolean {
		if (
			job.isReviewed ||
			now - job.arrivedAtMs < reviewShare * job.objectiveMs ||
			this.pool.isLearning(now)
		) {
			return false;
		}

		job.isReviewed = true;
		return this.#projectLastStartMs(job, now) > job.keptUntilMs;
	}

	#giveUp(job: ScheduledJob, answer: PoolAnswer, now: number): void {
		this.#decided(
			'given-up',
			job.id,
			'reason' in answer ? answer.reason : answer.kind,
			{
				answer: answer.kind,
				waitedMs: Math.round(now - job.arrivedAtMs),
				waitingTasks: job.waiting.length,
				tasks: job.tasks.length,
			},
		);
		this.#stopRuns(job, now);
		this.#finish(job, answer, now);
	}

	#stopRuns(job: ScheduledJob, now: number): void {
		for (const worker of this.pool.workers) {
			for (const run of worker.runs.values()) {
				if (run.jobId === job.id && run.state !== 'stopping') {
					this.pool.stop(run, worker, now);
				}
			}
		}
	}

	#finish(job: ScheduledJob, answer: PoolAnswer, now: number): void {
		this.#jobs.delete(job.id);
		if (answer.kind === 'not-run' || answer.kind === 'may-have-run') {
			this.#closedAttempts.set(job.job.attempt, {
				mayHaveRun: answer.kind === 'may-have-run',
				atMs: now,
			});
		} else {
			this.#answers.set(job.id, {answer, atMs: now});
		}

		this.#parts.output.answer(job.receiver, job.id, answer);
	}

	#refuse(
		job: PoolJob,
		receiver: string,
		isInDoubt: boolean,
		reason: NotRunReason,
		inputs: Readonly<Record<string, number | string>>,
	): void {
		this.#decided('refused', job.id, reason, {...inputs, queue: job.queue});
		if (!isInDoubt) {
			this.#closedAttempts.set(job.attempt, {
				mayHaveRun: false,
				atMs: this.#now,
			});
		}

		this.#parts.output.answer(
			receiver,
			job.id,
			isInDoubt
				? {kind: 'may-have-run', reason: 'leader-lost'}
				: {
						kind: 'not-run',
						reason,
						...(reason === 'cannot-fit' || reason === 'queue-unknown'
							? {}
							: {
									retryAfterMs:
										typeof inputs.retryAfterMs === 'number'
											? inputs.retryAfterMs
											: retryWithoutWorkersMs,
								}),
					},
		);
	}

	#learn(
		run: WorkerRun,
		worker: PoolWorker,
		ranMs: number,
		job: ScheduledJob | undefined,
	): void {
		worker.health.completed(ranMs, run.expectedMs);
		worker.pace.ended(ranMs / Math.max(1, run.expectedMs), this.#now);
		const task = job?.tasks.find(({task: {name}}) => name === run.task);
		if (job !== undefined && task !== undefined) {
			const {declaredMs} = task.task;
			this.#parts.estimates.observe(
				{
					classOfWork: job.queue.name,
					...(declaredMs > 0 ? {declaredMs} : {}),
				},
				ranMs,
			);
		}
	}

	#decided(
		event: 'admitted' | 'refused' | 'joined' | 'adopted' | 'given-up',
		id: string,
		reason: string,
		inputs: Readonly<Record<string, number | string>>,
	): void {
		this.#parts.output.decided({event, id, reason, inputs});
	}
}

/** The present run of a task, not ordered yet. */
function newRun(
	{id: jobId}: ScheduledJob,
	{task: {name, needs}, run, expectedMs}: ScheduledTask,
	now: number,
): WorkerRun {
	return {
		task: name,
		run,
		jobId,
		needs,
		expectedMs,
		state: 'ordered',
		orderedAtMs: now,
		confirmedAtMs: undefined,
		absences: 0,
		sends: 0,
		lastSentAtMs: now,
	};
}

function smallestWaitingOf({waiting}: ScheduledJob): number {
	return Math.min(...waiting.map(({task: {needs}}) => needs.processorMillis));
}

function largestFreeOf(workers: readonly PoolWorker[]): number {
	return Math.max(0, ...workers.map(({free}) => free.processorMillis));
}

/** The identifier of the job that a task belongs to; names of tasks begin with it. */
export function jobIdOf(task: string): string {
	return task.slice(0, task.indexOf('.'));
}
