import {describe, expect, it} from 'vitest';
import {JobsElsewhere} from '../jobs-elsewhere.js';
import {
	ReturnableJobs,
	type ReturnableJob,
	type ReturnableJobsNotice,
} from '../returnable-jobs.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const zones = ['zone-a', 'zone-b'];
const startMs = 100_000;
const copyDelayMs = 1300;

/** The schedulers of two leaders of one zone each, with one worker each. */
class TwoZonesFixture {
	readonly first = new SchedulerFixture(zones);
	readonly second = new SchedulerFixture(zones);
	/** Whether messages between the leaders arrive. */
	isConnected = true;
	readonly notices: ReturnableJobsNotice[] = [];
	readonly #returnableJobs = new ReturnableJobs();
	#now = startMs;

	/** Claims both zones; the worker of the second zone has reported that nothing runs. */
	constructor() {
		const workers = [
			workerFixture('w1'),
			workerFixture('w2', {zone: 'zone-b'}),
		];
		this.first.scheduler.updateWorkers(workers, startMs);
		this.second.scheduler.updateWorkers(workers, startMs);
		this.first.scheduler.startLeadingZone('zone-a', 7, startMs);
		this.second.scheduler.startLeadingZone('zone-b', 8, startMs);
		this.second.receiveReport('w2', startMs);
	}

	/** Submits the copy of a job to the leader of the second zone, as one that no leader has had. */
	submitCopy(id: string, patienceMs = 12_000): void {
		this.second.scheduler.submit(
			poolJobFixture(id, 1, {
				attempt: `entry-2/${id}`,
				runMs: 5000,
				zones: ['zone-b'],
				leaderToken: 8,
				patienceMs,
			}),
			'r2',
			false,
			this.#now,
		);
	}

	/** Submits a job to the leader of the first zone, and confirms its start. */
	startJob(id: string): void {
		this.first.receiveReport('w1', this.#now);
		this.first.scheduler.submit(
			poolJobFixture(id, 1, {
				runMs: 5000,
				zones: ['zone-a'],
				leaderToken: 7,
				patienceMs: 9000,
			}),
			'r1',
			false,
			this.#now,
		);
		this.first.answerStart(this.first.starts.at(-1)!, this.#now);
	}

	/** Ticks both leaders until a time after the start. */
	tickUntil(afterStartMs: number): void {
		while (this.#now < startMs + afterStartMs) {
			this.#now += 20;
			this.first.scheduler.tick(this.#now);
			this.second.scheduler.tick(this.#now);
			this.#announce();
		}
	}

	/** Passes what the first leader announces to the second one, and its confirmation back. */
	#announce(): void {
		const {scheduler} = this.first;
		const {notice, toStop} = this.#returnableJobs.update(
			{
				jobs: scheduler.findReturnableJobs(this.#now),
				isActive: scheduler.createActivityTest(this.#now),
				findAnswer(id) {
					const state = scheduler.getJobState(id);
					return typeof state === 'object' ? state : undefined;
				},
				leaders: [{name: 'second', token: 8}],
			},
			this.#now,
		);
		for (const {id} of toStop) {
			scheduler.stopReturnableJob(id, this.#now);
		}

		if (notice !== undefined && this.isConnected) {
			this.notices.push(notice);
			const {held, ended, sequence} = notice;
			this.second.scheduler.recordJobsElsewhere('first', held, this.#now);
			this.second.scheduler.recordEndedJobsElsewhere('first', ended, this.#now);
			this.#returnableJobs.confirm('second', sequence);
		}
	}
}

describe('a copy that reaches the leader of another zone', () => {
	it('is not started while the first leader cannot stop the runs of a lost receiver', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.tickUntil(100);
		fixture.first.scheduler.markReceiverUnreachable('r1', startMs + 100);
		fixture.tickUntil(600);
		// The lease that is extended after this report is the last that the worker gets.
		fixture.first.receiveReport('w1', startMs + 600, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(100 + copyDelayMs);
		fixture.submitCopy('j1');
		fixture.tickUntil(1620);
		expect(fixture.second.starts).toEqual([]);
		fixture.tickUntil(1900);
		expect(fixture.second.starts).toHaveLength(1);
	});

	it('is not started while the first leader keeps a run that no job has claimed', () => {
		const fixture = new TwoZonesFixture();
		fixture.first.receiveReport('w1', startMs, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(280);
		fixture.submitCopy('j1');
		fixture.tickUntil(760);
		expect(fixture.second.starts).toEqual([]);
		expect(fixture.first.stops).not.toEqual([]);
		fixture.first.receiveReport('w1', startMs + 760, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'stopped'}],
		});
		fixture.tickUntil(820);
		expect(fixture.second.starts).toHaveLength(1);
	});

	it('is not started while the first leader runs the job of a lost caller, and gets its answer', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		for (const afterMs of [500, 1000, copyDelayMs, 1800, 2500]) {
			fixture.tickUntil(afterMs);
			fixture.first.receiveReport('w1', startMs + afterMs, {
				running: [{task: 'j1.0.0.0', run: 1}],
			});
			if (afterMs === copyDelayMs) {
				fixture.submitCopy('j1');
			}
		}

		expect(fixture.first.stops).toEqual([]);
		fixture.first.receiveReport('w1', startMs + 2600, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.tickUntil(2700);
		expect(fixture.second.starts).toEqual([]);
		expect(fixture.second.answers).toEqual([
			{receiver: 'r2', id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('finds no run at work if the other leader could not be told of a lost caller', () => {
		const fixture = new TwoZonesFixture();
		fixture.isConnected = false;
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		fixture.tickUntil(1000);
		expect(fixture.first.stops).toEqual([]);
		fixture.first.receiveReport('w1', startMs + 1000, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(1100);
		expect(fixture.first.stops).toMatchObject([{task: 'j1.0.0.0', run: 1}]);
	});

	it('finds no run at work if the receiver of a lost caller is lost too, or submits the job again', () => {
		const fixture = new TwoZonesFixture();
		fixture.isConnected = false;
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		fixture.tickUntil(500);
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs + 500);
		fixture.tickUntil(900);
		fixture.first.receiveReport('w1', startMs + 900, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.first.scheduler.markReceiverUnreachable('r1', startMs + 900);
		fixture.tickUntil(1100);
		expect(fixture.first.stops).toMatchObject([{task: 'j1.0.0.0', run: 1}]);
	});

	it('finds no run at work that no job has claimed if the other leader could not be told of it', () => {
		const fixture = new TwoZonesFixture();
		fixture.isConnected = false;
		fixture.first.receiveReport('w1', startMs, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(220);
		expect(fixture.first.stops).toMatchObject([{task: 'j1.0.0.0', run: 1}]);
	});

	it('is started once the first leader can no longer have a run, if that leader falls silent', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		fixture.tickUntil(100);
		fixture.isConnected = false;
		fixture.tickUntil(copyDelayMs);
		fixture.submitCopy('j1');
		// The notice of 0.02 s holds for 2.1 s.
		fixture.tickUntil(2100);
		expect(fixture.second.starts).toEqual([]);
		fixture.tickUntil(2160);
		expect(fixture.second.starts).toHaveLength(1);
	});

	it("is not started after the end of a caller's loss while the first leader goes on with the job", () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		fixture.tickUntil(60);
		fixture.first.scheduler.markCallerReturned('j1', 'r1', startMs + 60);
		fixture.tickUntil(100);
		expect(fixture.notices.flatMap(({ended}) => ended)).toEqual([]);
		fixture.submitCopy('j1');
		for (const afterMs of [600, 1200, 1800, 2400, 3000]) {
			fixture.tickUntil(afterMs);
			fixture.first.receiveReport('w1', startMs + afterMs, {
				running: [{task: 'j1.0.0.0', run: 1}],
			});
		}

		expect(fixture.second.starts).toEqual([]);
		expect(fixture.first.stops).toEqual([]);
	});

	it('gets a true answer if its caller leaves before the first leader is done', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs);
		fixture.tickUntil(60);
		fixture.submitCopy('j1', 800);
		fixture.tickUntil(900);
		expect(fixture.second.starts).toEqual([]);
		expect(fixture.second.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run'}},
		]);
	});

	it('is not announced by a leader whose runs of the job have ended or were claimed at once', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.tickUntil(100);
		fixture.first.receiveReport('w1', startMs + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.first.scheduler.markCallerLost('j1', 'r1', startMs + 100);
		fixture.first.receiveReport('w1', startMs + 100, {
			running: [{task: 'j2.0.0.0', run: 1}],
		});
		fixture.startJob('j2');
		fixture.tickUntil(400);
		expect(fixture.notices).toEqual([]);
	});
});

describe('the announcement of jobs to the leaders of other zones', () => {
	const lostJob: ReturnableJob = {
		id: 'j1',
		cause: 'caller-lost',
		sinceMs: startMs,
	};

	/** Updates every 20 ms; returns the times and the contents of the notices, and of the stops. */
	function run(
		returnableJobs: ReturnableJobs,
		[fromMs, toMs]: readonly [number, number],
		{
			jobs = [lostJob],
			leaders = [{name: 'other', token: 8}],
			isActive = true,
			confirms = true,
		}: {
			readonly jobs?: readonly ReturnableJob[];
			readonly leaders?: ReadonlyArray<
				{readonly name: string; readonly token: number} | undefined
			>;
			readonly isActive?: boolean;
			readonly confirms?: boolean;
		} = {},
	) {
		const notices: Array<{
			readonly atMs: number;
			readonly held: readonly string[];
			readonly ended: readonly string[];
		}> = [];
		const stopsMs: number[] = [];
		for (let atMs = fromMs; atMs <= toMs; atMs += 20) {
			const {notice, toStop} = returnableJobs.update(
				{
					jobs,
					isActive: () => isActive,
					findAnswer: () => undefined,
					leaders,
				},
				startMs + atMs,
			);
			if (notice !== undefined) {
				notices.push({
					atMs,
					held: notice.held,
					ended: notice.ended.map(({id}) => id),
				});
				if (confirms) {
					returnableJobs.confirm('other', notice.sequence);
				}
			}

			if (toStop.length > 0) {
				stopsMs.push(atMs);
			}
		}

		return {notices, stopsMs};
	}

	it('is repeated every 0.3 s, and sooner while it is not confirmed', () => {
		const returnableJobs = new ReturnableJobs();
		const confirmed = run(returnableJobs, [0, 640]);
		expect(confirmed.notices.map(({atMs}) => atMs)).toEqual([0, 300, 600]);
		const lost = run(new ReturnableJobs(), [0, 200], {confirms: false});
		expect(lost.notices.map(({atMs}) => atMs)).toEqual([0, 60, 120, 180]);
	});

	it('stops nothing while all leaders know, and stops runs in time for a copy if one does not', () => {
		expect(run(new ReturnableJobs(), [0, 2000]).stopsMs).toEqual([]);
		const lost = run(new ReturnableJobs(), [0, 1200], {confirms: false});
		expect(lost.stopsMs[0]).toBe(1080);
		const withoutLeader = run(new ReturnableJobs(), [0, 1200], {
			leaders: [{name: 'other', token: 8}, undefined],
		});
		expect(withoutLeader.stopsMs[0]).toBe(1080);
	});

	it('counts for nothing once the leader has another token, as it may have forgotten the job', () => {
		const returnableJobs = new ReturnableJobs();
		run(returnableJobs, [0, 1200]);
		const {stopsMs} = run(returnableJobs, [1220, 1220], {
			leaders: [{name: 'other', token: 9}],
			confirms: false,
		});
		expect(stopsMs).toEqual([1220]);
	});

	it('counts for nothing 0.6 s after the last confirmation', () => {
		const returnableJobs = new ReturnableJobs();
		run(returnableJobs, [0, 1200]);
		const {stopsMs} = run(returnableJobs, [1220, 2400], {confirms: false});
		expect(stopsMs[0]).toBe(1820);
	});

	it('ends only after the last run, and is repeated until it is confirmed', () => {
		const returnableJobs = new ReturnableJobs();
		run(returnableJobs, [0, 100]);
		const claimed = run(returnableJobs, [120, 500], {jobs: []});
		expect(claimed.notices).toEqual([{atMs: 300, held: ['j1'], ended: []}]);
		const over = {jobs: [], isActive: false};
		const lost = run(returnableJobs, [520, 600], {...over, confirms: false});
		expect(lost.notices.map(({atMs, ended}) => [atMs, ended])).toEqual([
			[520, ['j1']],
			[580, ['j1']],
		]);
		expect(run(returnableJobs, [620, 1200], over).notices).toHaveLength(1);
		expect(returnableJobs.isIdle).toBe(true);
	});

	it('tells no end after the zones have changed, because another leader may have the runs', () => {
		const returnableJobs = new ReturnableJobs();
		run(returnableJobs, [0, 100]);
		returnableJobs.reset();
		const {notices} = run(returnableJobs, [120, 500], {
			jobs: [],
			isActive: false,
		});
		expect(notices).toEqual([]);
	});

	it('is not accepted beyond the largest number of jobs, so that the sender stops them', () => {
		const jobsElsewhere = new JobsElsewhere();
		const ids = Array.from({length: 20_000}, (_, index) => `j${index}`);
		expect(jobsElsewhere.record('first', ids, startMs)).toBe(true);
		expect(jobsElsewhere.record('second', ['j0'], startMs)).toBe(true);
		expect(jobsElsewhere.record('first', ['other'], startMs)).toBe(false);
		jobsElsewhere.evict(startMs + 2100);
		expect(jobsElsewhere.size).toBe(0);
	});

	it('ends for one holder while another one still has runs', () => {
		const jobsElsewhere = new JobsElsewhere();
		jobsElsewhere.record('first', ['j1'], startMs);
		jobsElsewhere.record('second', ['j1'], startMs);
		jobsElsewhere.end('first', 'j1');
		expect(jobsElsewhere.isHeld('j1', startMs)).toBe(true);
		jobsElsewhere.end('second', 'j1');
		expect(jobsElsewhere.isHeld('j1', startMs)).toBe(false);
	});
});

describe('a copy that reaches the successor of the leader that has announced its job', () => {
	it.each([
		['is started once all workers of all zones have reported', true, 1],
		['waits while a zone of its former leader is not led', false, 0],
	] as const)('%s', (_, claimsBoth, startCount) => {
		const {scheduler, starts, ...fixture} = createSuccessor(claimsBoth);
		scheduler.submit(poolJobFixture('j1'), 'r2', false, startMs + 10);
		expect(starts).toHaveLength(startCount);
		expect(fixture.answers).toEqual([]);
	});
});

/** Creates the successor of a leader that has announced `j1`; it claims one zone or both, and its workers have reported. */
function createSuccessor(claimsBoth: boolean): SchedulerFixture {
	const fixture = new SchedulerFixture(zones);
	const {scheduler} = fixture;
	scheduler.updateWorkers(
		[workerFixture('w1'), workerFixture('w2', {zone: 'zone-b'})],
		startMs - 100,
	);
	scheduler.recordJobsElsewhere('former', ['j1'], startMs - 50);
	for (const zone of claimsBoth ? zones : ['zone-a']) {
		scheduler.startLeadingZone(zone, 7, startMs);
	}

	scheduler.recordCurrentList(startMs, true);
	for (const worker of claimsBoth ? ['w1', 'w2'] : ['w1']) {
		fixture.receiveReport(worker, startMs + 5);
	}

	return fixture;
}
