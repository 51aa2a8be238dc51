import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	BestFit,
	LearnedTimeEstimator,
	ObjectiveOrder,
	PoolScheduler,
	type PoolDecision,
	type PoolJob,
	type WorkerEntry,
} from '@verbenarouter/core';
import {WorkerClient} from '@verbenarouter/platform';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {createWorkerCommandSender} from '../pool/worker-command-sender.js';

const servers: Server[] = [];
const clients: WorkerClient[] = [];

afterEach(() => {
	for (const client of clients.splice(0)) {
		client.close();
	}

	for (const server of servers.splice(0)) {
		server.closeAllConnections();
		server.close();
	}
});

function workerFixture(address: string): WorkerEntry {
	return {
		id: 'w1',
		service: 'menu',
		address,
		zone: 'a',
		state: 'ready',
		capacity: {processorMillis: 64_000, memoryMb: 1000, accelerators: 0},
		labels: [],
		bornMs: 1,
	};
}

function jobFixture(): PoolJob {
	const needs = {processorMillis: 1000, memoryMb: 1, accelerators: 0};
	return {
		id: 'j1',
		queue: 'q',
		spec: '',
		attempt: 'r1/j1',
		waitedMs: 0,
		patienceMs: 60_000,
		tasks: [{name: 'j1.0.0.0', needs, declaredMs: 10_000}],
	};
}

/** Keeps this process from running anything else for a time in milliseconds. */
function stall(durationMs: number): void {
	const untilMs = performance.now() + durationMs;
	while (performance.now() < untilMs) {
		// Busy.
	}
}

/** Creates a leader with one idle worker that has reported; `keepsOpen` is whether a connection to it is open. */
async function leaderFixture(keepsOpen: boolean) {
	const startedTasks: string[] = [];
	const server = createServer((request, response) => {
		let body = '';
		request.on('data', (chunk: Uint8Array) => {
			body += String(chunk);
		});
		request.on('end', () => {
			if (request.url === '/api/run-start') {
				startedTasks.push((JSON.parse(body) as {task: string}).task);
			}

			response.setHeader('connection', keepsOpen ? 'keep-alive' : 'close');
			response.end(
				JSON.stringify({
					clockMs: Math.floor(performance.now()),
					born: 1,
					running: startedTasks.map((task) => [task, 1, '', 0]),
					finished: [],
				}),
			);
		});
	});
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const now = () => performance.now();
	const client = new WorkerClient(now);
	clients.push(client);
	const decisions: PoolDecision[] = [];
	const scheduler: PoolScheduler = new PoolScheduler({
		commandSender: createWorkerCommandSender(
			client,
			() => scheduler,
			now,
			(error) => {
				throw error;
			},
		),
		output: {
			sendAnswer: () => undefined,
			sendCompletedTasks: () => undefined,
			sendUntouched: () => undefined,
			sendLostRuns: () => undefined,
			handleFencedZone: () => undefined,
			logDecision(decision) {
				decisions.push(decision);
			},
		},
		estimates: new LearnedTimeEstimator(),
		queueOrder: new ObjectiveOrder(),
		workerSelection: new BestFit(),
		zones: ['a'],
	});
	scheduler.applyDesiredState({
		version: 1,
		services: ['menu'],
		limits: {
			bodyBytes: 1000,
			headerBytes: 1000,
			headerTimeoutMs: 1000,
			idleTimeoutMs: 1000,
		},
		queues: [
			{
				name: 'q',
				priority: 0,
				host: 'h',
				pathPrefix: '/',
				service: 'menu',
				mostAttempts: 3,
				stretch: 2,
				latencyMs: 60,
			},
		],
	});
	scheduler.updateWorkers(
		[workerFixture(`127.0.0.1:${(server.address() as AddressInfo).port}`)],
		now(),
	);
	scheduler.startLeadingZone('a', 7, now());
	scheduler.recordCurrentList(now(), true);
	await vi.waitFor(() => {
		// A tick repeats a report that has timed out.
		scheduler.tick(now());
		expect(scheduler.pool.hasSyncedWorker('a')).toBe(true);
	});
	scheduler.tick(now());
	return {scheduler, startedTasks, decisions, now};
}

describe('the sender of commands to workers', () => {
	it.each([
		['on an open connection', true],
		['on a connection that is being opened', false],
	])(
		'does not send a start %s after its leader has dropped the zone',
		async (_case, keepsOpen) => {
			const {scheduler, startedTasks, now} = await leaderFixture(keepsOpen);
			scheduler.submit(jobFixture(), 'r1', false, now());
			scheduler.stopLeadingZones(['a'], now());
			await new Promise((resolve) => {
				setTimeout(resolve, 100);
			});
			expect(startedTasks).toEqual([]);
		},
	);

	it('does not take the outcome of an earlier run for that of the next run of the task', async () => {
		const outcomes: unknown[] = [];
		const scheduler = {
			pool: {findWorker: () => ({runs: new Map([['j1.0.0.0', {run: 2}]])})},
			handleStartOutcome(...outcome: readonly unknown[]) {
				outcomes.push(outcome);
			},
		} as unknown as PoolScheduler;
		const client = {
			start: async () => ({kind: 'refused', reason: 'old-run'}),
		} as unknown as WorkerClient;
		const sender = createWorkerCommandSender(
			client,
			() => scheduler,
			() => 0,
			(error) => {
				throw error;
			},
		);
		for (const run of [1, 2]) {
			sender.start({
				worker: workerFixture('127.0.0.1:1'),
				fencingToken: 7,
				task: 'j1.0.0.0',
				run,
				spec: '',
				leaseExpiresAtMs: 1000,
				decidedAtMs: 0,
				sendUntilMs: 280,
			});
		}

		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		expect(outcomes).toHaveLength(1);
	});

	it.each([
		['on an open connection', true],
		['on a connection that is being opened', false],
	])(
		'does not send a start %s once a successor may have claimed since it was decided on',
		async (_case, keepsOpen) => {
			const {scheduler, startedTasks, decisions, now} =
				await leaderFixture(keepsOpen);
			scheduler.submit(jobFixture(), 'r1', false, now());
			expect(decisions.at(-1)).toMatchObject({event: 'placed'});
			stall(400);
			await vi.waitFor(() => {
				expect(decisions).toContainEqual(
					expect.objectContaining({event: 'run-ended', reason: 'not-started'}),
				);
			});
			expect(startedTasks).toEqual([]);
		},
	);
});
