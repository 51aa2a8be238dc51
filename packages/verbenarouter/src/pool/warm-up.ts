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
	warmUpTaskProcessorMillis,
	createWarmUpRequest,
} from '@verbenarouter/platform';
import {createWorkerCommandSender} from './worker-command-sender.js';

/** The number of warm-up jobs and how many of them run at a time. */
export type WarmUpLoad = {
	/** Total number of jobs. */
	readonly jobCount: number;
	/** Number of jobs that run at the same time. */
	readonly concurrency: number;
	/** Pause in milliseconds after each job, in which the process can handle other work. */
	readonly pauseMs: number;
};

/**
 * Load for the first start of an installation, when no callers need the processor yet. After half as many jobs, a job still
 * takes twice as long as on a warm process.
 */
export const startupWarmUpLoad: WarmUpLoad = {
	jobCount: 150,
	concurrency: 6,
	pauseMs: 5,
};

const host = 'rehearsal';
const pathPrefix = '/jobs/';
const zone = 'rehearsal';
/** Number of simulated workers. */
const workerCount = 6;
/** Interval at which the scheduler checks leases and deadlines. */
const tickIntervalMs = 20;
/** Time limit of each warm-up request. */
const requestTimeoutMs = 5000;
/** Processor capacity of a worker in thousandths of a core, which fits two tasks; also used as its memory in MB. */
const workerMillis = 2 * warmUpTaskProcessorMillis;

/** Desired state with a single queue for the warm-up jobs. */
const state: DesiredState = {
	version: 1,
	services: [host],
	limits: {
		bodyBytes: 262_144,
		headerBytes: 16_384,
		headerTimeoutMs: requestTimeoutMs,
		idleTimeoutMs: requestTimeoutMs,
	},
	queues: [
		{
			name: host,
			host,
			pathPrefix,
			service: host,
			priority: 0,
			mostAttempts: 3,
			stretch: 1.6,
			latencyMs: requestTimeoutMs,
		},
	],
};

/**
 * Runs synthetic jobs through the code of a receiver and a leader, from request to answer, over loopback HTTP. Code
 * that has never run takes about ten times as long, so a cold leader could not keep up in its first seconds. Resolves
 * when all jobs have ended; rejects if a loopback address cannot be bound.
 */
export async function runWarmUpJobs({
	jobCount,
	concurrency,
	pauseMs,
}: WarmUpLoad): Promise<void> {
	const now = () => performance.now();
	const workers = new SimulatedWorkers();
	const address = await listen(workers.server);
	const client = new WorkerClient(now);
	const resolvers = new Map<string, (answer: PoolAnswer) => void>();
	const scheduler: PoolScheduler = new PoolScheduler({
		commandSender: createWorkerCommandSender(
			client,
			() => scheduler,
			now,
			throwError,
		),
		output: {
			sendAnswer(_receiver, id, answer) {
				resolvers.get(id)?.(answer);
				resolvers.delete(id);
			},
			sendCompletedTasks: () => undefined,
			sendUntouched: () => undefined,
			sendLostRuns: () => undefined,
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
		Array.from({length: workerCount}, (_, index) =>
			createWorkerEntry(address, index),
		),
		now(),
	);
	scheduler.startLeadingZone(zone, 1, now());
	const tickTimer = setInterval(() => {
		scheduler.tick(now());
	}, tickIntervalMs);
	const callerServer = createCallerServer({
		desiredState: () => state,
		waitForDesiredState: async () => state,
		submit: async (job) =>
			new Promise((resolve) => {
				resolvers.set(job.id, resolve);
				scheduler.submit({...job, attempt: job.id}, host, false, now());
			}),
		handleCallerDisconnect: () => undefined,
		cancel: async () => 'unknown',
		getJobState: async () => undefined,
		countPendingJobs: async () => undefined,
		isStopping: () => false,
		acceptsRequest: () => true,
		handleRejectedRequest: () => undefined,
	});
	const caller = new HttpHostClient(await listen(callerServer), concurrency);
	await Promise.all(
		Array.from({length: concurrency}, async (_, index) => {
			for (let job = index; job < jobCount; job += concurrency) {
				// eslint-disable-next-line no-await-in-loop -- each loop runs its jobs one after the other
				await caller.exchange(
					createWarmUpRequest(host, pathPrefix, job, requestTimeoutMs),
				);
				// eslint-disable-next-line no-await-in-loop
				await sleep(pauseMs);
			}
		}),
	);
	clearInterval(tickTimer);
	caller.close();
	client.close();
	for (const server of [callerServer, workers.server]) {
		server.close();
		server.closeAllConnections();
	}
}

function createWorkerEntry(address: string, index: number): WorkerEntry {
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

/** Listens on a free loopback port and returns its `host:port` address. */
async function listen(server: Server): Promise<string> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

/** Ends the warm-up with an error that handling a command has caused. */
function throwError(error: unknown): never {
	throw error;
}
