import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	ZoneEvacuations,
	type EvacuationChange,
	type EvacuationRead,
} from '../zone-evacuations.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const startMs = 100_000;

function snapshotFixture(
	endOffset: number,
	evacuated: readonly string[],
	positionAtStart = 0,
): EvacuationRead {
	return {
		isSnapshot: true,
		records: evacuated.map((zone) => ({zone, isEvacuated: true})),
		endOffset,
		positionAtStart,
	};
}

function recordsFixture(
	endOffset: number,
	records: readonly EvacuationChange[],
): EvacuationRead {
	return {isSnapshot: false, records, endOffset, positionAtStart: 0};
}

const request = {zone: 'zone-b', isEvacuated: true};
const withdrawal = {zone: 'zone-b', isEvacuated: false};

describe('ZoneEvacuations', () => {
	it('applies requests and their withdrawals in the order of the log, also within one read', () => {
		const evacuations = new ZoneEvacuations(zones);
		expect(evacuations.applyRead(recordsFixture(5, [request]))).toEqual([
			request,
		]);
		expect(
			evacuations.applyRead(recordsFixture(7, [withdrawal, request])),
		).toEqual([]);
		expect(evacuations.evacuatedZones).toEqual(new Set(['zone-b']));
		expect(evacuations.applyRead(recordsFixture(8, [withdrawal]))).toEqual([
			withdrawal,
		]);
	});

	it('takes a request that a complete snapshot lacks for withdrawn', () => {
		const evacuations = new ZoneEvacuations(zones);
		evacuations.applyRead(snapshotFixture(5, ['zone-b', 'zone-c']));
		expect(evacuations.applyRead(snapshotFixture(9, ['zone-c'], 5))).toEqual([
			withdrawal,
		]);
	});

	it('keeps a request that is missing because the store has lost its history, and obeys its later records', () => {
		const evacuations = new ZoneEvacuations(zones);
		evacuations.applyRead(snapshotFixture(500, ['zone-b']));
		expect(evacuations.applyRead(snapshotFixture(2, [], 500))).toEqual([]);
		expect(evacuations.evacuatedZones).toEqual(new Set(['zone-b']));
		expect(evacuations.applyRead(recordsFixture(3, [withdrawal]))).toEqual([
			withdrawal,
		]);
	});

	it('ignores an own read that began before a newer copy of another entry VM arrived', () => {
		const evacuations = new ZoneEvacuations(zones);
		evacuations.applyRead(snapshotFixture(5, ['zone-b']));
		evacuations.merge([{...withdrawal, position: 9}]);
		expect(evacuations.applyRead(snapshotFixture(6, ['zone-b'], 5))).toEqual(
			[],
		);
		expect(evacuations.evacuatedZones.size).toBe(0);
	});

	it('does not let an older copy bring a withdrawn request back', () => {
		const evacuations = new ZoneEvacuations(zones);
		evacuations.applyRead(recordsFixture(5, [request]));
		const copy = evacuations.entries;
		evacuations.applyRead(recordsFixture(6, [withdrawal]));
		expect(evacuations.merge(copy)).toEqual([]);
		expect(evacuations.evacuatedZones.size).toBe(0);
		const restarted = new ZoneEvacuations(zones);
		restarted.merge(copy);
		restarted.merge(evacuations.entries);
		expect(restarted.evacuatedZones.size).toBe(0);
	});

	it('ignores zones that the installation does not have', () => {
		const evacuations = new ZoneEvacuations(zones);
		evacuations.applyRead(snapshotFixture(5, ['zone-x']));
		evacuations.merge([{zone: 'zone-y', isEvacuated: true, position: 9}]);
		expect(evacuations.entries).toEqual([]);
	});

	it('ends with the newest request wherever copies are read and in whatever order they arrive', () => {
		const steps = fc.array(
			fc.record({
				reader: fc.nat({max: 2}),
				isSnapshot: fc.boolean(),
				upTo: fc.nat({max: 12}),
				sendsTo: fc.nat({max: 2}),
			}),
			{maxLength: 25},
		);
		const history = fc.array(fc.boolean(), {minLength: 12, maxLength: 12});
		fc.assert(
			fc.property(steps, history, (moves, log) => {
				const nodes = [0, 1, 2].map(() => new ZoneEvacuations(zones));
				const readUpTo = [0, 0, 0];
				for (const {reader, isSnapshot, upTo, sendsTo} of moves) {
					const node = nodes[reader]!;
					const from = readUpTo[reader]!;
					const end = Math.max(from, upTo);
					const isEvacuated = end > 0 && log[end - 1] === true;
					node.applyRead(
						isSnapshot
							? snapshotFixture(end, isEvacuated ? ['zone-b'] : [], from)
							: recordsFixture(
									end,
									log
										.slice(from, end)
										.map((isOn) => ({zone: 'zone-b', isEvacuated: isOn})),
								),
					);
					readUpTo[reader] = end;
					nodes[sendsTo]!.merge(node.entries);
				}

				const newest = Math.max(...readUpTo);
				const best = nodes[readUpTo.indexOf(newest)]!;
				for (const node of nodes) {
					best.merge(node.entries);
					node.merge(best.entries);
				}

				const expected = newest > 0 && log[newest - 1] === true;
				return nodes.every(
					({evacuatedZones}) => evacuatedZones.has('zone-b') === expected,
				);
			}),
			{seed: 26, numRuns: 500},
		);
	});
});

describe('a scheduler with an evacuated zone', () => {
	function createFixture(): SchedulerFixture {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		return fixture;
	}

	const evacuated = new Set(['zone-a']);
	const inZoneA = {zones: ['zone-a'], patienceMs: 5000};

	it('starts nothing there, refuses new jobs at once and hands waiting ones back as not run', () => {
		const fixture = createFixture();
		fixture.tickUntil(startMs + 20, startMs + 280);
		const long = {...inZoneA, runMs: 400};
		fixture.scheduler.submit(
			poolJobFixture('runs', 2, long),
			'r1',
			false,
			startMs + 300,
		);
		fixture.scheduler.submit(
			poolJobFixture('waits', 1, {...long, queue: 'plan-rebuild'}),
			'r1',
			false,
			startMs + 500,
		);
		expect(fixture.starts).toHaveLength(2);
		fixture.scheduler.setEvacuatedZones(evacuated, startMs + 510);
		fixture.scheduler.submit(
			poolJobFixture('new', 1, long),
			'r1',
			false,
			startMs + 520,
		);
		expect(
			fixture.answers.map(({id, answer}) => [
				id,
				answer.kind,
				'reason' in answer ? answer.reason : '',
			]),
		).toEqual([
			['waits', 'not-run', 'no-workers'],
			['new', 'not-run', 'no-workers'],
		]);
		expect(fixture.stops).toEqual([]);
		fixture.tickUntil(startMs + 520, startMs + 600);
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.scheduler.computeSpareMillis(startMs + 600)).toEqual({
			'zone-a': 0,
		});
	});

	// The receiver would send the copy of a job that is at work here to another zone.
	it('hands no job back while the reports of the workers are on their way', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.setEvacuatedZones(evacuated, startMs);
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, inZoneA),
			'r1',
			false,
			startMs + 10,
		);
		fixture.tickUntil(startMs + 20, startMs + 60);
		expect(fixture.answers).toEqual([]);
		fixture.receiveReport('w1', startMs + 70, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(startMs + 80, startMs + 120);
		expect(fixture.answers).toEqual([]);
		expect(fixture.scheduler.getJobState('j1')).toBe('running');
	});

	it('lets runs at work end normally', () => {
		const fixture = createFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, inZoneA),
			'r1',
			false,
			startMs + 1,
		);
		fixture.answerStart(fixture.starts[0]!, startMs + 2);
		fixture.scheduler.setEvacuatedZones(evacuated, startMs + 10);
		fixture.receiveReport('w1', startMs + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		expect(fixture.answers).toMatchObject([{answer: {kind: 'completed'}}]);
	});

	it('tells the truth at once about a job of which only a part has started', () => {
		const fixture = createFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 3, inZoneA),
			'r1',
			false,
			startMs + 1,
		);
		expect(fixture.starts).toHaveLength(2);
		fixture.scheduler.setEvacuatedZones(evacuated, startMs + 10);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'may-have-run', reason: 'zone-evacuated'}},
		]);
		expect(fixture.stops).toHaveLength(2);
	});

	it('does not repeat an unanswered start command there', () => {
		const fixture = createFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, inZoneA),
			'r1',
			false,
			startMs + 1,
		);
		fixture.scheduler.setEvacuatedZones(evacuated, startMs + 10);
		fixture.answerStart(fixture.starts[0]!, startMs + 50, {kind: 'silent'});
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.stops).toHaveLength(1);
	});

	it('uses the zone again at once, a cold worker with one task at a time until a run was not slow', () => {
		const fixture = createFixture();
		fixture.scheduler.setEvacuatedZones(evacuated, startMs + 10);
		fixture.scheduler.updateWorkers(
			[workerFixture('w1', {coldMs: 4000})],
			startMs + 20,
		);
		fixture.scheduler.setEvacuatedZones(new Set(), startMs + 30);
		for (const id of ['j1', 'j2']) {
			fixture.scheduler.submit(
				poolJobFixture(id, 1, {...inZoneA, waitedMs: 60, runMs: 400}),
				'r1',
				false,
				startMs + 40,
			);
		}

		expect(fixture.starts).toHaveLength(1);
		fixture.answerStart(fixture.starts[0]!, startMs + 41);
		fixture.tickUntil(startMs + 60, startMs + 440);
		fixture.receiveReport('w1', startMs + 441, {
			ended: [{number: 1, task: fixture.starts[0]!.task, run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(
			poolJobFixture('j3', 2, {...inZoneA, runMs: 400}),
			'r1',
			false,
			startMs + 442,
		);
		expect(fixture.starts.length).toBeGreaterThan(2);
		// The worker still counts down its cold time in each entry that it writes.
		const worker = fixture.scheduler.pool.findWorker('w1')!;
		worker.setEntry(workerFixture('w1', {coldMs: 2500}), startMs + 450);
		expect(worker.isCold(startMs + 450)).toBe(false);
		worker.setEntry(
			workerFixture('w1', {coldMs: 4000, bornMs: 2}),
			startMs + 460,
		);
		expect(worker.isCold(startMs + 460)).toBe(true);
	});
});
