import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

describe('scheduler at a change of leader', () => {
	it('adopts active and ended runs, and starts only the remaining tasks', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5, {
			running: [{task: 'j1.0.0.0', run: 2}],
			ended: [{number: 4, task: 'j1.0.0.1', run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1', 3), 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 60);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j1.0.0.2']);
	});

	it('adopts ended runs that workers report after the job arrives, and starts none again', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.submit(poolJobFixture('j1', 2), 'r1', true, startMs + 5);
		fixture.receiveReport('w1', startMs + 20, {
			ended: [{number: 3, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.receiveReport('w2', startMs + 25, {
			running: [{task: 'j1.0.0.1', run: 1}],
		});
		fixture.tickUntil(startMs + 40, startMs + 60);
		fixture.receiveReport('w2', startMs + 70, {
			ended: [{number: 1, task: 'j1.0.0.1', run: 1, how: 'done'}],
		});
		expect(fixture.starts).toEqual([]);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('counts a failed run of an earlier leader as an attempt', () => {
		const fixture = new SchedulerFixture();
		const state = desiredStateFixture(2);
		fixture.scheduler.applyDesiredState({
			...state,
			queues: state.queues.map((queue) => ({...queue, mostAttempts: 1})),
		});
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'failed'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 100);
		expect(fixture.starts).toEqual([]);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'failed', reason: 'attempts-used-up'}},
		]);
	});

	it('adopts the latest run of a task when workers list ends of earlier runs', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			['w1', 'w2', 'w3'].map((id) => workerFixture(id)),
			startMs,
		);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 1, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 2, how: 'stopped'}],
		});
		fixture.receiveReport('w2', startMs + 2, {
			running: [{task: 'j1.0.0.0', run: 3}],
		});
		fixture.receiveReport('w3', startMs + 3, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'stopped'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', true, startMs + 5);
		fixture.tickUntil(startMs + 20, startMs + 100);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', startMs + 110, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 3, how: 'done'}],
		});
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('starts an indeterminate job only after all workers have reported or every earlier lease has expired', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5);
		const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 1840);
		expect(fixture.starts).toEqual([]);
		fixture.tickUntil(startMs + 1860, startMs + 1900);
		expect(fixture.starts).toHaveLength(1);
	});

	it('does not answer `not-run` for a job that returns after it went to another leader', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		const otherJob = poolJobFixture('wide', 2, {runMs: 90, patienceMs: 9000});
		const job = poolJobFixture('j1', 1, {patienceMs: 250});
		fixture.scheduler.submit(otherJob, 'r1', false, startMs);
		fixture.scheduler.submit(job, 'r1', false, startMs);
		fixture.scheduler.submit(job, 'r1', true, startMs + 50);
		fixture.tickUntil(startMs + 60, startMs + 160);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run'}},
		]);
	});

	it('queues a job that arrives before the workers report, and starts it when they do', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 5);
		fixture.tickUntil(startMs + 20, startMs + 40);
		expect([fixture.answers, fixture.starts]).toEqual([[], []]);
		fixture.receiveReport('w1', startMs + 50);
		expect(fixture.starts).toMatchObject([{task: 'j1.0.0.0'}]);
	});

	it('runs a job that was delayed by the lack of a leader after jobs that can meet their objective', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		const size = {processorMillis: 40_000};
		const delayedJob = poolJobFixture('late', 1, {...size, waitedMs: 300});
		fixture.scheduler.submit(delayedJob, 'r1', false, startMs + 5);
		fixture.scheduler.submit(
			poolJobFixture('in-time', 1, size),
			'r1',
			false,
			startMs + 10,
		);
		fixture.receiveReport('w1', startMs + 20);
		fixture.receiveReport('w1', startMs + 120, {
			ended: [{number: 1, task: 'in-time.0.0.0', run: 1, how: 'done'}],
		});
		expect(fixture.starts.map(({task}) => task)).toEqual([
			'in-time.0.0.0',
			'late.0.0.0',
		]);
	});

	it('does not retry a run that may still be active in a zone that it stopped leading', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		const workers = [
			workerFixture('w1', {zone: 'zone-b'}),
			workerFixture('w2', {
				capacity: {processorMillis: 96_000, memoryMb: 64, accelerators: 0},
			}),
		];
		fixture.leadIdleWorkers(workers, startMs);
		fixture.scheduler.startLeadingZone('zone-b', 8, startMs);
		fixture.receiveReport('w1', startMs);
		const job = poolJobFixture('j1', 1, {
			processorMillis: 64_000,
			runMs: 5000,
			patienceMs: 60_000,
		});
		const submittedAtMs = startMs + 5000;
		fixture.tickUntil(startMs + 20, submittedAtMs);
		fixture.scheduler.submit(job, 'r1', false, submittedAtMs);
		fixture.scheduler.stopLeadingZones(['zone-b'], submittedAtMs + 20);
		fixture.scheduler.submit(job, 'r1', true, submittedAtMs + 40);
		fixture.scheduler.submit(
			{...job, attempt: 'next'},
			'r1',
			true,
			submittedAtMs + 50,
		);
		fixture.tickUntil(submittedAtMs + 60, submittedAtMs + 1840);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.answers.map(({answer}) => answer.kind)).toEqual([
			'may-have-run',
			'may-have-run',
		]);
		fixture.tickUntil(submittedAtMs + 1900, submittedAtMs + 1940);
		expect(fixture.starts).toHaveLength(2);
	});

	it('answers `may-have-run` without delay if an indeterminate job cannot be settled before its caller leaves', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		const job = poolJobFixture('j1', 1, {patienceMs: 1500, waitedMs: 400});
		fixture.scheduler.submit(job, 'r1', true, startMs);
		fixture.scheduler.tick(startMs + 20);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run'}},
		]);
		expect(fixture.starts).toEqual([]);
	});

	it('does not answer `not-run` for an indeterminate job', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(
			{...poolJobFixture('j1'), queue: 'unknown'},
			'r1',
			true,
			startMs,
		);
		expect(fixture.answers[0]?.answer.kind).toBe('may-have-run');
	});

	it('stops orphaned runs after the time that receivers have to resubmit jobs', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs, {
			running: [{task: 'j9.0.0.0', run: 1}],
		});
		fixture.tickUntil(startMs + 20, startMs + 680);
		expect(fixture.stops).toEqual([]);
		fixture.tickUntil(startMs + 700, startMs + 720);
		expect(fixture.stops).toMatchObject([{task: 'j9.0.0.0', run: 1}]);
	});

	it('drops its jobs without an answer when it stops leading', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		fixture.scheduler.stopLeadingZones(['zone-a'], startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 3000);
		expect(fixture.answers).toEqual([]);
		expect(fixture.scheduler.jobCount).toBe(0);
	});

	it('answers no job and stops no run when it stops leading all zones at once', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-b', 7, startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		expect(fixture.starts).toHaveLength(1);
		fixture.scheduler.stopLeadingZones(['zone-a', 'zone-b'], startMs + 10);
		expect(fixture.answers).toEqual([]);
		expect(fixture.stops).toEqual([]);
	});

	it('passes the names of done tasks to the next leader through the receivers', () => {
		const earlierLeader = new SchedulerFixture();
		earlierLeader.leadIdleWorkers([workerFixture('w1')], startMs);
		earlierLeader.scheduler.submit(
			poolJobFixture('j1', 3),
			'r1',
			false,
			startMs,
		);
		earlierLeader.receiveReport('w1', startMs + 100, {
			running: [{task: 'j1.0.0.1', run: 1}],
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		earlierLeader.scheduler.stopLeadingZones(['zone-a'], startMs + 101);
		expect(earlierLeader.completedTaskReports).toEqual([
			{receiver: 'r1', id: 'j1', doneTasks: ['j1.0.0.0']},
		]);
		const laterLeader = new SchedulerFixture();
		laterLeader.scheduler.updateWorkers([workerFixture('w1')], startMs + 102);
		laterLeader.scheduler.startLeadingZone('zone-a', 8, startMs + 102);
		laterLeader.receiveReport('w1', startMs + 103, {
			running: [{task: 'j1.0.0.1', run: 1}],
		});
		laterLeader.scheduler.submit(
			poolJobFixture('j1', 3, {doneTasks: ['j1.0.0.0']}),
			'r1',
			true,
			startMs + 104,
		);
		laterLeader.tickUntil(startMs + 110, startMs + 170);
		expect(laterLeader.starts.map(({task}) => task)).toEqual(['j1.0.0.2']);
	});

	it('reports the fencing token that a worker has refused', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.handleHoldOutcome(
			'w1',
			{sentAtMs: startMs, fencingToken: 7},
			{kind: 'refused', reason: 'fenced'},
			startMs + 1,
		);
		expect(fixture.fencedZones).toEqual([{zone: 'zone-a', token: 7}]);
	});
});

describe('scheduler with the zones of jobs', () => {
	const zones = ['zone-a', 'zone-b', 'zone-c'];
	const workers = zones.map((zone) => workerFixture(`w-${zone}`, {zone}));

	/** Leads the first zones of three; their workers have reported that nothing runs. */
	function leadZones(...led: readonly string[]): SchedulerFixture {
		const fixture = new SchedulerFixture(zones);
		fixture.scheduler.updateWorkers(workers, startMs);
		for (const zone of led) {
			fixture.scheduler.startLeadingZone(zone, 7, startMs);
			fixture.receiveReport(`w-${zone}`, startMs);
		}

		return fixture;
	}

	it('places tasks only on workers in the zones of their job, even if others are idle', () => {
		const fixture = leadZones('zone-a', 'zone-b');
		fixture.tickUntil(startMs + 20, startMs + 280);
		fixture.scheduler.submit(
			poolJobFixture('j1', 2, {zones: ['zone-b']}),
			'r1',
			false,
			startMs + 300,
		);
		fixture.scheduler.submit(
			poolJobFixture('j2', 1, {zones: ['zone-b']}),
			'r1',
			false,
			startMs + 300,
		);
		fixture.tickUntil(startMs + 320, startMs + 340);
		expect(fixture.starts.map(({worker}) => worker.id)).toEqual([
			'w-zone-b',
			'w-zone-b',
		]);
	});

	it('refuses a job for whose zones it leads no workers', () => {
		const fixture = leadZones('zone-a');
		fixture.tickUntil(startMs + 20, startMs + 280);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-b']}),
			'r1',
			false,
			startMs + 300,
		);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'not-run', reason: 'no-workers'}},
		]);
	});

	it('starts an indeterminate job as soon as the workers of its zones have reported', () => {
		const fixture = leadZones('zone-a');
		const job = poolJobFixture('j1', 1, {zones: ['zone-a']});
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 100);
		expect(fixture.starts).toHaveLength(1);
	});

	it('waits for the leases of an indeterminate job that may have run in zones led by others', () => {
		for (const jobZones of [undefined, ['zone-a', 'zone-b']]) {
			const fixture = leadZones('zone-a');
			const job = poolJobFixture('j1', 1, {
				patienceMs: 60_000,
				// Long enough that an answer is still of use after the leases.
				runMs: 1000,
				...(jobZones === undefined ? {} : {zones: jobZones}),
			});
			fixture.scheduler.submit(job, 'r1', true, startMs + 10);
			fixture.tickUntil(startMs + 20, startMs + 1840);
			expect(fixture.starts).toEqual([]);
			fixture.tickUntil(startMs + 1860, startMs + 1900);
			expect(fixture.starts).toHaveLength(1);
		}
	});

	it('answers an indeterminate job at once if its answer could no longer be of use after the leases', () => {
		const fixture = leadZones('zone-a');
		const job = poolJobFixture('j1', 1, {patienceMs: 60_000, runMs: 100});
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 100);
		expect(fixture.starts).toEqual([]);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'may-have-run', reason: 'leader-lost'}},
		]);
	});

	it('does not wait for workers outside the zones of an indeterminate job', () => {
		const fixture = leadZones('zone-a');
		fixture.scheduler.startLeadingZone('zone-b', 8, startMs);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			true,
			startMs + 10,
		);
		fixture.scheduler.submit(
			poolJobFixture('j2', 1, {zones: ['zone-a', 'zone-b']}),
			'r1',
			true,
			startMs + 10,
		);
		fixture.tickUntil(startMs + 20, startMs + 200);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j1.0.0.0']);
	});

	it('unites the zones of a job that returns after it went to a leader in another scope', () => {
		const fixture = leadZones('zone-a');
		fixture.tickUntil(startMs + 20, startMs + 280);
		const busy = poolJobFixture('busy', 2, {runMs: 300, patienceMs: 9000});
		fixture.scheduler.submit(busy, 'r1', false, startMs + 300);
		const job = poolJobFixture('j1', 1, {
			runMs: 5000,
			patienceMs: 60_000,
			zones: ['zone-a'],
		});
		fixture.scheduler.submit(job, 'r1', false, startMs + 300);
		fixture.scheduler.submit(
			{...job, zones: ['zone-b']},
			'r1',
			true,
			startMs + 310,
		);
		fixture.tickUntil(startMs + 320, startMs + 580);
		fixture.receiveReport('w-zone-a', startMs + 600, {
			ended: [0, 1].map((index) => ({
				number: index + 1,
				task: `busy.0.0.${index}`,
				run: 1,
				how: 'done',
			})),
		});
		fixture.tickUntil(startMs + 620, startMs + 1000);
		expect(fixture.starts).toHaveLength(2);
	});

	it('leaves the jobs of a dropped zone to its next leader, and continues those of the zones that it keeps', () => {
		const fixture = leadZones('zone-a', 'zone-b');
		fixture.tickUntil(startMs + 20, startMs + 280);
		for (const zone of ['zone-a', 'zone-b']) {
			fixture.scheduler.submit(
				poolJobFixture(`j-${zone}`, 1, {zones: [zone]}),
				'r1',
				false,
				startMs + 300,
			);
		}

		fixture.scheduler.stopLeadingZones(['zone-b'], startMs + 320);
		expect(fixture.answers).toEqual([]);
		expect(fixture.stops).toEqual([]);
		expect(fixture.scheduler.jobCount).toBe(1);
		// The next leader has the job by now; a claim of the zone must not start it here.
		fixture.scheduler.startLeadingZone('zone-b', 9, startMs + 340);
		fixture.receiveReport('w-zone-b', startMs + 345);
		fixture.tickUntil(startMs + 360, startMs + 500);
		expect(fixture.starts).toHaveLength(2);
	});

	it('tells the receivers which jobs it has started no task of when it drops a zone', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.tickUntil(startMs + 20, startMs + 280);
		const submit = (id: string, isResubmitted: boolean) => {
			fixture.scheduler.submit(
				poolJobFixture(id, 2),
				'r1',
				isResubmitted,
				startMs + 300,
			);
		};

		submit('runs', false);
		submit('waits', false);
		submit('unknown', true);
		fixture.scheduler.stopLeadingZones(['zone-a'], startMs + 310);
		expect(fixture.untouchedReports).toEqual([
			{receiver: 'r1', id: 'waits', attempt: 'entry/waits'},
		]);
	});
});
