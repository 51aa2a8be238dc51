import {type WorkerEntry} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {
	KnowledgeSchedule,
	computeWorkersVersion,
} from '../pool/knowledge-schedule.js';

const own = {state: 2, workers: 'w2'};
const both = {hasState: true, hasWorkers: true};

function workerFixture(
	id: string,
	change: Partial<WorkerEntry> = {},
): WorkerEntry {
	return {
		id,
		service: 'menu',
		address: '127.0.0.1:1',
		zone: 'a',
		state: 'ready',
		capacity: {processorMillis: 1, memoryMb: 1, accelerators: 0},
		labels: [],
		bornMs: 1,
		...change,
	};
}

describe('KnowledgeSchedule', () => {
	it('sends only what a peer lacks by its heartbeat', () => {
		const schedule = new KnowledgeSchedule();
		const peers = [
			{name: 'a', needsWorkers: true, knows: own},
			{name: 'b', needsWorkers: true, knows: {state: 1, workers: 'w2'}},
			{name: 'c', needsWorkers: true, knows: {state: 3, workers: 'w1'}},
			{name: 'd', needsWorkers: true, knows: {state: 0, workers: ''}},
		];
		expect(schedule.takeDue(peers, own, 1000)).toEqual(
			new Map([
				['b', {hasState: true, hasWorkers: false}],
				['c', {hasState: false, hasWorkers: true}],
				['d', both],
			]),
		);
		expect(schedule.takeDue(peers, own, 1020)).toEqual(new Map());
	});

	it('sends no list of workers to a peer that cannot become a leader', () => {
		const schedule = new KnowledgeSchedule();
		const peers = [
			{name: 'a', needsWorkers: false, knows: {state: 1, workers: ''}},
			{name: 'b', needsWorkers: false, knows: {state: 2, workers: ''}},
		];
		expect(schedule.takeDue(peers, own, 1000)).toEqual(
			new Map([['a', {hasState: true, hasWorkers: false}]]),
		);
	});

	it('sends a list of workers to a peer every 2 s at most, however often it changes or the stream opens', () => {
		const schedule = new KnowledgeSchedule();
		let count = 0;
		for (let now = 1000; now < 11_000; now += 20) {
			schedule.handleOpen('a');
			const due = schedule.takeDue(
				[{name: 'a', needsWorkers: true, knows: {state: 2, workers: ''}}],
				{state: 2, workers: `w${now}`},
				now,
			);
			count += due.size;
		}

		expect(count).toBe(5);
	});

	it('sends a new desired state at once, and again if it is not confirmed', () => {
		const schedule = new KnowledgeSchedule();
		const isStateDue = (knownState: number, state: number, now: number) =>
			schedule
				.takeDue(
					[
						{
							name: 'a',
							needsWorkers: true,
							knows: {state: knownState, workers: 'w'},
						},
					],
					{state, workers: 'w'},
					now,
				)
				.get('a')?.hasState === true;
		expect([
			isStateDue(1, 2, 1000),
			isStateDue(1, 3, 1020),
			isStateDue(1, 3, 1040),
			isStateDue(1, 3, 1420),
			isStateDue(3, 3, 1900),
		]).toEqual([true, true, false, true, false]);
	});

	it('sends all to a peer of an earlier version when its stream opens, and each change once', () => {
		const schedule = new KnowledgeSchedule();
		const peers = [{name: 'a', needsWorkers: true, knows: undefined}];
		expect(schedule.takeDue(peers, own, 1000)).toEqual(new Map([['a', both]]));
		expect(schedule.takeDue(peers, own, 5000)).toEqual(new Map());
		expect(
			schedule.takeDue(peers, {state: 2, workers: 'w3'}, 6000).get('a'),
		).toEqual(both);
		expect(schedule.takeDue(peers, {state: 2, workers: 'w3'}, 8500)).toEqual(
			new Map(),
		);
		schedule.handleOpen('a');
		expect(
			schedule.takeDue(peers, {state: 2, workers: 'w3'}, 9000).get('a'),
		).toEqual(both);
	});
});

describe('computeWorkersVersion', () => {
	it('depends on the workers and their state, not on their order', () => {
		const version = computeWorkersVersion([
			workerFixture('a'),
			workerFixture('b'),
		]);
		expect(
			computeWorkersVersion([workerFixture('b'), workerFixture('a')]),
		).toBe(version);
		const others = [
			[workerFixture('a')],
			[workerFixture('a'), workerFixture('c')],
			[workerFixture('a'), workerFixture('b', {state: 'draining'})],
			[workerFixture('a'), workerFixture('b', {bornMs: 2})],
			[workerFixture('a'), workerFixture('b', {address: '127.0.0.1:2'})],
			...(['processorMillis', 'memoryMb', 'accelerators'] as const).map(
				(resource) => [
					workerFixture('a'),
					workerFixture('b', {
						capacity: {...workerFixture('b').capacity, [resource]: 2},
					}),
				],
			),
		].map((workers) => computeWorkersVersion(workers));
		expect(new Set([version, ...others]).size).toBe(9);
	});
});
