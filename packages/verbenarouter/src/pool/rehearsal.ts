/**
 * Runs made-up jobs through the code of a receiver and of a leader, from request to answer, over loopback. Code that has
 * never run takes about ten times as long, so that a new leader could not keep up in its first seconds.
 */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BestFit,
	LearnedTimeEstimator,
	ObjectiveOrder,
	PoolScheduler,
	type DesiredState,
	type PoolAnswer,
	type WorkerEntry,
} from '@verbenarouter/core';
import {
	HttpHostClient,
	SimulatedWorkers,
	WorkerClient,
	createCallerServer,
	rehearsalTaskProcessorMillis,
	createRehearsalRequest,
} from '@verbenarouter/platform';
import {ordersOver} from './worker-orders.js';

/** How much is rehearsed, and how fast. */
export type RehearsalPace = {
	readonly jobs: number;
	/** Jobs at a time. */
	readonly atOnce: number;
	/** Pause in milliseconds after each job, for the real work of the process. */
	readonly pauseMs: number;
};

/** Before callers come nothing else needs the processor. Half as many jobs leave twice the time of a warm job. */
export const earlyPace: RehearsalPace = {jobs: 150, atOnce: 6, pauseMs: 5};

const host = 'rehearsal';
const prefix = '/jobs/';
const zone = 'rehearsal';
const workerCount = 6;
const tickMs = 20;
const requestMs = 5000;
/** Room for two tasks on each worker, in thousandths of a core. */
const workerMillis = 2 * rehearsalTaskProcessorMillis;

const state: DesiredState = {
	version: 1,
	services: [host],
	limits: {
		bodyBytes: 262_144,
		headerBytes: 16_384,
		headerTimeoutMs: requestMs,
		idleTimeoutMs: requestMs,
	},
	queues: [
		{
			name: host,
			host,
			pathPrefix: prefix,
			service: host,
			priority: 0,
			mostAttempts: 3,
			stretch: 1.6,
			latencyMs: requestMs,
		},
	],
};

/** Plays a rehearsal; resolves when it has ended, and rejects when loopback cannot be used. */
export async function rehearse({
	jobs,
	atOnce,
	pauseMs,
}: RehearsalPace): Promise<void> {
	const now = () => performance.now();
	const workers = new SimulatedWorkers();
	const address = await listen(workers.server);
	const client = new WorkerClient(now);
	const waiting = new Map<string, (answer: PoolAnswer) => void>();
	const scheduler: PoolScheduler = new PoolScheduler({
		commandSender: ordersOver(client, () => scheduler, now),
		output: {
			sendAnswer(_receiver, id, answer) {
				waiting.get(id)?.(answer);
				waiting.delete(id);
			},
			sendCompletedTasks: () => undefined,
			handleFencedZone: () => undefined,
			logDecision(decision) {
				JSON.stringify(decision);
			},
		},
		estimates: new LearnedTimeEstimator(),
		queueOrder: new ObjectiveOrder(),
		workerSelection: new BestFit(),
		zones: [zone],
	});
	scheduler.applyDesiredState(state);
	scheduler.updateWorkers(
		Array.from({length: workerCount}, (_, index) => workerAt(address, index)),
		now(),
	);
	scheduler.startLeadingZone(zone, 1, now());
	const ticks = setInterval(() => {
		scheduler.tick(now());
	}, tickMs);
	const front = createCallerServer({
		desiredState: () => state,
		waitForDesiredState: async () => state,
		submit: async (job) =>
			new Promise((resolve) => {
				waiting.set(job.id, resolve);
				scheduler.submit({...job, attempt: job.id}, host, false, now());
			}),
		callerDisconnected: () => undefined,
		cancel: async () => false,
		getJobState: async () => undefined,
		countPendingJobs: async () => undefined,
		isStopping: () => false,
		requestRejected: () => undefined,
	});
	const caller = new HttpHostClient(await listen(front), atOnce);
	await Promise.all(
		Array.from({length: atOnce}, async (_, index) => {
			for (let job = index; job < jobs; job += atOnce) {
				// eslint-disable-next-line no-await-in-loop -- one job after the other
				await caller.exchange(createRehearsalRequest(host, prefix, job, requestMs));
				// eslint-disable-next-line no-await-in-loop
				await sleep(pauseMs);
			}
		}),
	);
	clearInterval(ticks);
	caller.close();
	client.close();
	for (const server of [front, workers.server]) {
		server.close();
		server.closeAllConnections();
	}
}

function workerAt(address: string, index: number): WorkerEntry {
	return {
		id: `rehearsal-${index}`,
		service: host,
		address,
		zone,
		state: 'ready',
		capacity: {
			processorMillis: workerMillis,
			memoryMb: workerMillis,
			accelerators: 0,
		},
		labels: [],
		bornMs: 1,
	};
}

async function listen(server: Server): Promise<string> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}
