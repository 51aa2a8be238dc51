/**
 * Runs made-up jobs through the code of a receiver and of a leader, from request to answer, over loopback. Code that has
 * never run takes about ten times as long, so that a new leader could not keep up in its first seconds.
 */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BestFit,
	LearnedEstimates,
	ObjectiveOrder,
	PoolScheduler,
	type DesiredState,
	type ListedEnd,
	type PoolAnswer,
	type WorkerEntry,
} from '@verbenarouter/core';
import {
	HttpHost,
	WorkerClient,
	createCallerFront,
	parseRecord,
	textOf,
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
const runMs = 8;
const tickMs = 20;
const requestMs = 5000;
const needsMillis = 27_000;
const workerMillis = 64_000;

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

/** Workers of a rehearsal: every run ends after a few milliseconds. */
class RehearsalWorkers {
	readonly server: Server;
	readonly #ended = new Map<string, ListedEnd[]>();
	readonly #waiting = new Map<string, () => void>();

	constructor() {
		this.server = createServer((request, response) => {
			const worker = String(request.headers['x-expect-instance']);
			const chunks: Uint8Array[] = [];
			request.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				const body = parseRecord(chunks.map((chunk) => textOf(chunk)).join(''));
				if (request.url === '/api/hold') {
					this.#hold(worker, Number(body?.waitMs), response);
				} else {
					this.#start(worker, String(body?.task));
					send(response, {clockMs: Math.floor(performance.now())});
				}
			});
		});
	}

	#start(worker: string, task: string): void {
		setTimeout(() => {
			const ended = this.#ended.get(worker) ?? [];
			ended.push({number: ended.length + 1, task, run: 1, how: 'done'});
			this.#ended.set(worker, ended);
			this.#waiting.get(worker)?.();
		}, runMs);
	}

	#hold(worker: string, waitMs: number, response: ServerResponse): void {
		const answer = () => {
			clearTimeout(timer);
			this.#waiting.delete(worker);
			send(response, {
				clockMs: Math.floor(performance.now()),
				born: 1,
				running: [],
				finished: (this.#ended.get(worker) ?? [])
					.slice(-workerCount)
					.map(({number, task, run, how}) => [number, task, run, how, '']),
			});
		};

		const timer = setTimeout(answer, waitMs);
		this.#waiting.set(worker, answer);
	}
}

/** Plays a rehearsal; resolves when it has ended, and rejects when loopback cannot be used. */
export async function rehearse({
	jobs,
	atOnce,
	pauseMs,
}: RehearsalPace): Promise<void> {
	const now = () => performance.now();
	const workers = new RehearsalWorkers();
	const address = await listen(workers.server);
	const client = new WorkerClient(now);
	const waiting = new Map<string, (answer: PoolAnswer) => void>();
	const scheduler: PoolScheduler = new PoolScheduler({
		orders: ordersOver(client, () => scheduler, now),
		output: {
			answer(_receiver, id, answer) {
				waiting.get(id)?.(answer);
				waiting.delete(id);
			},
			progressed: () => undefined,
			fenced: () => undefined,
			decided(decision) {
				JSON.stringify(decision);
			},
		},
		estimates: new LearnedEstimates(),
		order: new ObjectiveOrder(),
		fit: new BestFit(),
		zones: [zone],
	});
	scheduler.configure(state);
	scheduler.updateWorkers(
		Array.from({length: workerCount}, (_, index) => workerAt(address, index)),
		now(),
	);
	scheduler.lead(zone, 1, now());
	const ticks = setInterval(() => {
		scheduler.tick(now());
	}, tickMs);
	const front = createCallerFront({
		desiredState: () => state,
		firstDesiredState: async () => state,
		submit: async (job) =>
			new Promise((resolve) => {
				waiting.set(job.id, resolve);
				scheduler.submit({...job, attempt: job.id}, host, false, now());
			}),
		abandon: () => undefined,
		cancel: async () => false,
		stateOf: async () => undefined,
		pendingCount: async () => undefined,
		isStopping: () => false,
		rejected: () => undefined,
	});
	const caller = new HttpHost(await listen(front), atOnce);
	await Promise.all(
		Array.from({length: atOnce}, async (_, index) => {
			for (let job = index; job < jobs; job += atOnce) {
				// eslint-disable-next-line no-await-in-loop -- one job after the other
				await caller.exchange(submission(job));
				// eslint-disable-next-line no-await-in-loop
				await sleep(pauseMs);
			}
		}),
	);
	clearInterval(ticks);
	caller.close();
	client.closeAll();
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

function submission(job: number) {
	return {
		method: 'POST',
		path: prefix + job.toString(16).padStart(16, '0'),
		headers: {host, 'x-deadline-ms': String(requestMs)},
		body: JSON.stringify({
			spec: '',
			bestEffort: true,
			steps: [
				{
					count: job % 3 === 0 ? 8 : 2,
					cpu: needsMillis,
					memMb: 64,
					estimatedMs: runMs,
				},
			],
		}),
		timeoutMs: requestMs,
	} as const;
}

async function listen(server: Server): Promise<string> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

function send(response: ServerResponse, body: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
