import {request, type IncomingMessage, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type DesiredState, type PoolAnswer} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {
	createCallerServer,
	refuseOpenRequests,
	type JobDispatcher,
} from '../caller-server.js';
import {OpenRequests} from '../open-requests.js';
import {HttpHostClient, type HttpExchangeOutcome} from '../http-exchange.js';

let callerServer: Server | undefined;
let client: HttpHostClient | undefined;

afterEach(() => {
	client?.close();
	callerServer?.close();
});

const state: DesiredState = {
	version: 1,
	services: ['menu'],
	limits: {
		bodyBytes: 262_144,
		headerBytes: 16_384,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
	queues: [
		{
			name: 'plans',
			host: 'kitchen.example',
			pathPrefix: '/plans/',
			service: 'menu',
			priority: 0,
			mostAttempts: 3,
			stretch: 1.6,
			latencyMs: 60,
		},
	],
};

/** Creates a dispatcher that completes each job at once and records what is refused. */
function createDispatcher(overrides: Partial<JobDispatcher> = {}): {
	readonly dispatcher: JobDispatcher;
	readonly rejected: readonly string[];
} {
	const rejected: string[] = [];
	return {
		rejected,
		dispatcher: {
			desiredState: () => state,
			waitForDesiredState: async () => state,
			submit: async () => ({kind: 'completed'}),
			handleCallerDisconnect: () => undefined,
			cancel: async () => 'unknown' as const,
			getJobState: async () => undefined,
			countPendingJobs: async () => undefined,
			isStopping: () => false,
			acceptsRequest: () => true,
			handleRejectedRequest(id, status, reason) {
				rejected.push(`${id} ${status} ${reason}`);
			},
			...overrides,
		},
	};
}

/** Listens with a server for a dispatcher, and returns a client of it. */
async function listen(
	dispatcher: JobDispatcher,
	openRequests = new OpenRequests(),
): Promise<HttpHostClient> {
	callerServer = createCallerServer(dispatcher, openRequests);
	await new Promise<void>((resolve) => {
		callerServer?.listen(0, '127.0.0.1', resolve);
	});
	client = new HttpHostClient(
		`127.0.0.1:${(callerServer.address() as AddressInfo).port}`,
		3,
	);
	return client;
}

const submission = {
	method: 'POST',
	path: '/plans/00000000000000aa',
	headers: {host: 'kitchen.example'},
	body: '{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1,"estimatedMs":70}]}',
	timeoutMs: 10_000,
} as const;

/** Sends a request to cancel the job, and returns the response. */
async function sendDelete(): Promise<IncomingMessage> {
	return new Promise((resolve, reject) => {
		const {port} = callerServer!.address() as AddressInfo;
		const {path, headers} = submission;
		request({port, method: 'DELETE', path, headers}, (response) => {
			response.resume();
			resolve(response);
		})
			.on('error', reject)
			.end();
	});
}

/** Submits a job while no desired state is known; `firstState` is what the wait for it resolves with. */
async function submitBeforeDesiredState(
	firstState: DesiredState | undefined,
): Promise<{
	readonly exchange: HttpExchangeOutcome;
	readonly rejected: readonly string[];
}> {
	const {dispatcher, rejected} = createDispatcher({
		desiredState: () => undefined,
		waitForDesiredState: async () => firstState,
	});
	const connected = await listen(dispatcher);
	return {exchange: await connected.exchange(submission), rejected};
}

describe('a request that arrives before the first desired state', () => {
	it('waits for the desired state', async () => {
		const {exchange, rejected} = await submitBeforeDesiredState(state);
		expect([exchange, rejected]).toMatchObject([
			{kind: 'answered', status: 200},
			[],
		]);
	});

	it('is refused as not run and logged if no desired state arrives in time', async () => {
		const {exchange, rejected} = await submitBeforeDesiredState(undefined);
		expect([exchange, rejected]).toMatchObject([
			{kind: 'answered', status: 503},
			['/plans/00000000000000aa 503 no-desired-state'],
		]);
	});
});

/** Sends two submissions in one segment, and returns what the server sends until it closes or 500 ms have passed. */
async function submitPipelined(): Promise<string> {
	const {port} = callerServer!.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	socket.setEncoding('utf8');
	let received = '';
	socket.on('data', (text: string) => {
		received += text;
	});
	const {body} = submission;
	socket.write(
		['aa', 'ab']
			.map(
				(suffix) =>
					`POST /plans/00000000000000${suffix} HTTP/1.1\r\nhost: kitchen.example\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
			)
			.join(''),
	);
	await sleep(500);
	socket.destroy();
	return received;
}

describe('a request that arrives while the process stops', () => {
	it('is answered also if its connection has another request before it', async () => {
		const openRequests = new OpenRequests();
		await listen(
			createDispatcher({
				isStopping: () => true,
				async submit() {
					await sleep(50);
					return {kind: 'completed'};
				},
			}).dispatcher,
			openRequests,
		);
		const received = await submitPipelined();
		expect(received.split('HTTP/1.1 200').length - 1).toBe(2);
		expect(openRequests.readCount).toBe(0);
	});

	it('is refused at once with the time that it needs known, whatever its method', async () => {
		const asked: string[] = [];
		const {dispatcher, rejected} = createDispatcher({
			isStopping: () => true,
			acceptsRequest(id, needsMs) {
				asked.push(`${id} ${needsMs}`);
				return false;
			},
		});
		const connected = await listen(dispatcher);
		for (const method of ['POST', 'GET'] as const) {
			// eslint-disable-next-line no-await-in-loop -- the order of the answers is checked
			expect(await connected.exchange({...submission, method})).toMatchObject({
				kind: 'answered',
				status: 503,
			});
		}

		const {statusCode, headers} = await sendDelete();
		expect(statusCode).toBe(503);
		expect(headers).toMatchObject({connection: 'close', 'retry-after': '1'});
		expect(asked).toEqual([
			'00000000000000aa 70',
			'/plans/00000000000000aa 0',
			'/plans/00000000000000aa 0',
		]);
		expect(rejected).toEqual([
			'/plans/00000000000000aa 503 stopping',
			'/plans/00000000000000aa 503 stopping',
			'/plans/00000000000000aa 503 stopping',
		]);
	});

	it('is refused with all others that have no response when the process is about to end, and only once', async () => {
		const openRequests = new OpenRequests();
		const {dispatcher} = createDispatcher({
			submit: async () => Promise.race<PoolAnswer>([]),
			getJobState: async () => Promise.race<string>([]),
		});
		const connected = await listen(dispatcher, openRequests);
		const exchanges = Promise.all([
			connected.exchange(submission),
			connected.exchange({...submission, method: 'GET'}),
		]);
		await expect.poll(() => openRequests.readCount).toBe(2);
		refuseOpenRequests(dispatcher, openRequests);
		refuseOpenRequests(dispatcher, openRequests);
		expect(await exchanges).toMatchObject([{status: 503}, {status: 503}]);
		await expect.poll(() => openRequests.readCount).toBe(0);
	});
});

describe('a request that cancels a job', () => {
	it.each([
		['cancelled', 200],
		['unconfirmed', 202],
		['unknown', 410],
	] as const)(
		'of which the dispatcher tells that it is %s gets %i',
		async (outcome, status) => {
			await listen(createDispatcher({cancel: async () => outcome}).dispatcher);
			const {statusCode} = await sendDelete();
			expect(statusCode).toBe(status);
		},
	);
});
