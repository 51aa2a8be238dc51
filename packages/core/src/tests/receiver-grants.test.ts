import {describe, expect, it} from 'vitest';
import {type PoolJob} from '../pool-job.js';
import {ReceiverGrants} from '../receiver-grants.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
/** Time for which a grant holds, and for which a lease lasts at most. */
const grantMs = 900;
const longestLeaseMs = 1170;

/** Creates a job whose tasks take 5 s, for which its caller waits 20 s. */
function longJobFixture(
	id: string,
	taskCount = 1,
	change: Partial<PoolJob> = {},
): PoolJob {
	return poolJobFixture(id, taskCount, {
		runMs: 5000,
		patienceMs: 20_000,
		...change,
	});
}

/** A leader of two idle workers that ticks, and whose receivers confirm its heartbeats when a test has them do so. */
class GrantFixture extends SchedulerFixture {
	now = startMs;

	constructor(zones: readonly string[] = ['zone-a']) {
		super(zones);
		this.leadIdleWorkers([workerFixture('w1'), workerFixture('w2')], startMs);
	}

	/** Submits a job of one task, or another one, with a grant of its receiver. */
	submit(job: PoolJob | string, receiver = 'r1', isResubmitted = false): void {
		this.scheduler.submit(
			{
				...(typeof job === 'string' ? longJobFixture(job) : job),
				grant: {epoch: 1, heartbeatSentAtMs: this.now},
			},
			receiver,
			isResubmitted,
			this.now,
		);
	}

	confirm(receiver = 'r1', epoch = 1): void {
		this.scheduler.renewGrant(
			receiver,
			{epoch, heartbeatSentAtMs: this.now},
			this.now,
		);
	}

	/** Confirms all starts that were sent; returns their tasks and workers. */
	confirmStarts(): ReadonlyArray<{
		readonly task: string;
		readonly worker: string;
	}> {
		return this.starts.splice(0).map((start) => {
			this.answerStart(start, this.now);
			return {task: start.task, worker: start.worker.id};
		});
	}

	/**
	 * Ticks for a time, in which the workers report these runs each time that they are asked; the outcomes of commands to silent
	 * workers are lost.
	 */
	pass(
		durationMs: number,
		running: Readonly<Record<string, readonly string[]>>,
		silent: readonly string[] = [],
	): void {
		const untilMs = this.now + durationMs;
		while (this.now < untilMs) {
			this.now += 20;
			for (const {worker} of this.holds.splice(0)) {
				if (silent.includes(worker.id)) {
					this.scheduler.handleHoldOutcome(
						worker.id,
						{sentAtMs: this.now, fencingToken: 7},
						{kind: 'silent'},
						this.now,
					);
				} else {
					this.receiveReport(worker.id, this.now, {
						running: (running[worker.id] ?? []).map((task) => ({
							task,
							run: 1,
						})),
					});
				}
			}

			this.scheduler.tick(this.now);
		}
	}

	/** Ticks while all receivers confirm and idle workers report, until a start is sent or 3 s have passed. */
	passUntilStart(): void {
		const untilMs = this.now + 3000;
		while (this.starts.length === 0 && this.now < untilMs) {
			this.confirm('r1');
			this.confirm('r2');
			this.pass(20, {});
		}
	}

	/** Whether the hold commands since the last look have extended the lease of a worker. */
	takeIsExtended(worker: string): boolean {
		const isExtended = this.holds.some(
			(hold) =>
				hold.worker.id === worker && hold.leaseExpiresAtMs !== undefined,
		);
		this.holds.length = 0;
		return isExtended;
	}
}

describe('the grant of a receiver', () => {
	const fullWorkers = {
		w1: ['j1.0.0.0', 'j1.0.0.1'],
		w2: ['j1.0.0.2', 'j1.0.0.3'],
	};

	/** Fills both workers, lets another job wait, and has a run end after a time without a confirmation. */
	function endRunAfter(durationMs: number): GrantFixture {
		const fixture = new GrantFixture();
		fixture.submit(longJobFixture('j1', 4));
		expect(fixture.confirmStarts()).toHaveLength(4);
		fixture.submit('j2', 'r1', true);
		fixture.pass(durationMs, fullWorkers);
		fixture.receiveReport('w1', fixture.now, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
			running: [{task: 'j1.0.0.1', run: 1}],
		});
		return fixture;
	}

	it('lets a leader start a task until the time of the grant has passed since the confirmed heartbeat was sent', () => {
		const fixture = endRunAfter(grantMs - 20);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j2.0.0.0']);
	});

	it('lets no task start after that, until the receiver confirms another heartbeat', () => {
		const fixture = endRunAfter(grantMs);
		const running = {...fullWorkers, w1: ['j1.0.0.1']};
		fixture.pass(100, running);
		expect(fixture.starts).toEqual([]);
		fixture.confirm();
		// The worker that still has runs of the job is available again from the next tick on.
		fixture.pass(40, running);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j2.0.0.0']);
	});

	it('lets a leader extend no lease after its end, until the receiver confirms another heartbeat', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1');
		const [{task, worker} = {task: '', worker: ''}] = fixture.confirmStarts();
		fixture.pass(grantMs - 20, {[worker]: [task]});
		expect(fixture.takeIsExtended(worker)).toBe(true);
		fixture.receiveReport(worker, fixture.now, {running: [{task, run: 1}]});
		fixture.holds.length = 0;
		fixture.now += 20;
		fixture.receiveReport(worker, fixture.now, {running: [{task, run: 1}]});
		expect(fixture.takeIsExtended(worker)).toBe(false);
		fixture.confirm();
		fixture.receiveReport(worker, fixture.now, {running: [{task, run: 1}]});
		expect(fixture.takeIsExtended(worker)).toBe(true);
	});

	it('does not count from the arrival of the confirmation', () => {
		const grants = new ReceiverGrants();
		grants.renew('r1', {epoch: 1, heartbeatSentAtMs: 1000}, 1700);
		expect(grants.confirmedAtMs('r1', 1)).toBe(1000);
	});

	it('of one epoch does not renew that of another', () => {
		const grants = new ReceiverGrants();
		grants.renew('r1', {epoch: 1, heartbeatSentAtMs: 1000}, 1000);
		grants.renew('r1', {epoch: 2, heartbeatSentAtMs: 1500}, 1500);
		expect(grants.confirmedAtMs('r1', 1)).toBe(1000);
		expect(grants.confirmedAtMs('r1', 2)).toBe(1500);
	});

	it('that confirms a heartbeat of the future is ignored', () => {
		const grants = new ReceiverGrants();
		grants.renew('r1', {epoch: 1, heartbeatSentAtMs: 2000}, 1000);
		expect(grants.confirmedAtMs('r1', 1)).toBe(Number.NEGATIVE_INFINITY);
	});

	it('has to be renewed after the lease of an unreported run before its task starts again, as another leader may have extended it', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1');
		const [{worker} = {worker: ''}] = fixture.confirmStarts();
		const leaseEndsAtMs = fixture.now + longestLeaseMs;
		fixture.pass(500, {}, [worker]);
		fixture.confirm();
		while (fixture.now < leaseEndsAtMs + 100) {
			fixture.pass(20, {}, [worker]);
		}

		// The confirmation is recent enough for a start, but older than the end of the lease.
		expect(fixture.starts).toEqual([]);
		fixture.confirm();
		fixture.pass(20, {}, [worker]);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j1.0.0.0']);
	});

	it('of another receiver has to hold too before a task starts beside the runs of its jobs', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1', 'r1');
		const [{task, worker} = {task: '', worker: ''}] = fixture.confirmStarts();
		fixture.pass(grantMs, {[worker]: [task]});
		fixture.submit('j2', 'r2');
		const starts = fixture.confirmStarts();
		expect(starts).toHaveLength(1);
		expect(starts[0]!.worker).not.toBe(worker);
	});

	it('that has ended has the runs of its jobs stopped before the lease ends that others need', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1', 'r1');
		fixture.submit('j2', 'r2');
		const workers = fixture.confirmStarts().map(({worker}) => worker);
		expect(new Set(workers).size).toBe(1);
		fixture.pass(480, {[workers[0]!]: ['j1.0.0.0', 'j2.0.0.0']});
		fixture.confirm('r2');
		// The lease was extended at most 20 ms ago, and no report arrives from now on.
		fixture.tickUntil(fixture.now + 20, startMs + 460 + longestLeaseMs - 520);
		expect(fixture.stops).toEqual([]);
		fixture.tickUntil(startMs + 1120, startMs + 1160);
		expect(new Set(fixture.stops.map(({task}) => task))).toEqual(
			new Set(['j1.0.0.0']),
		);
	});

	it('that has ended for long has its jobs given up', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1');
		const [{task, worker} = {task: '', worker: ''}] = fixture.confirmStarts();
		fixture.pass(grantMs + 580, {[worker]: [task]});
		expect(fixture.scheduler.jobCount).toBe(1);
		fixture.pass(40, {[worker]: [task]});
		expect(fixture.scheduler.jobCount).toBe(0);
		expect(fixture.stops.map((stop) => stop.task)).toContain(task);
	});

	it('that was renewed after its end keeps the job', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1');
		const [{task, worker} = {task: '', worker: ''}] = fixture.confirmStarts();
		fixture.pass(grantMs + 400, {[worker]: [task]});
		fixture.confirm();
		fixture.pass(700, {[worker]: [task]});
		expect(fixture.scheduler.jobCount).toBe(1);
		expect(
			fixture.decisions.flatMap((decision) =>
				decision.event === 'receiver-held' ||
				decision.event === 'receiver-released'
					? [decision.event]
					: [],
			),
		).toEqual(['receiver-held', 'receiver-released']);
	});

	it('to an earlier leader bounds the time for which the next one waits for runs that it cannot see', () => {
		const fixture = new GrantFixture(['zone-a', 'zone-b']);
		fixture.submit(
			longJobFixture('j1', 1, {earlierGrantAgeMs: 10}),
			'r1',
			true,
		);
		fixture.passUntilStart();
		expect(fixture.now).toBeGreaterThanOrEqual(
			startMs + grantMs + longestLeaseMs - 10,
		);
		expect(fixture.now).toBeLessThan(startMs + grantMs + longestLeaseMs + 40);
	});

	it('to an earlier leader is remembered for a copy of a job that was answered as possibly run', () => {
		const fixture = new GrantFixture(['zone-a', 'zone-b']);
		fixture.submit(
			longJobFixture('j1', 1, {patienceMs: 700, earlierGrantAgeMs: 10}),
			'r1',
			true,
		);
		fixture.pass(1300, {});
		expect(fixture.answers.map(({answer}) => answer.kind)).toEqual([
			'may-have-run',
		]);
		fixture.submit(longJobFixture('j1', 1, {attempt: 'r2/1'}), 'r2');
		fixture.passUntilStart();
		expect(fixture.now).toBeGreaterThanOrEqual(
			startMs + grantMs + longestLeaseMs - 10,
		);
	});
});

describe('a run whose stop is not confirmed', () => {
	it('keeps the lease of its worker from being extended', () => {
		const fixture = new GrantFixture();
		fixture.submit('j1', 'r1');
		fixture.submit('j2', 'r1');
		const [{worker} = {worker: ''}] = fixture.confirmStarts();
		const running = ['j1.0.0.0', 'j2.0.0.0'].map((task) => ({task, run: 1}));
		fixture.receiveReport(worker, fixture.now, {running});
		fixture.holds.length = 0;
		fixture.scheduler.cancel('j1', 'caller-left', 'r1', fixture.now);
		fixture.receiveReport(worker, fixture.now, {running});
		expect(fixture.takeIsExtended(worker)).toBe(false);
		fixture.scheduler.handleStopOutcome(
			worker,
			'j1.0.0.0',
			{kind: 'done', clockMs: fixture.now},
			fixture.now,
		);
		fixture.receiveReport(worker, fixture.now, {running});
		expect(fixture.takeIsExtended(worker)).toBe(true);
	});
});
