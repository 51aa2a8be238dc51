import {type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {EventLoopDelay, type PoolAnswer} from '@verbenarouter/core';
import {
	OpenRequests,
	createCallerServer,
	type JobDispatcher,
} from '@verbenarouter/platform';
import {afterEach, describe, expect, it} from 'vitest';
import {ProcessStop} from '../pool/process-stop.js';

let callerServer: Server | undefined;
let caller: Socket | undefined;

afterEach(() => {
	caller?.destroy();
	callerServer?.closeAllConnections();
	callerServer?.close();
});

const path = '/plans/00000000000000aa';
const getRequest = `GET ${path} HTTP/1.1\r\nhost: kitchen.example\r\n\r\n`;
const body =
	'{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1}]}';
const postRequest = `POST ${path} HTTP/1.1\r\nhost: kitchen.example\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** A stop of this process with a clock that the test moves, and a caller whose connection is open and idle. */
async function createStop() {
	const clock = {offsetMs: 0};
	const now = () => 1000 + clock.offsetMs;
	const openRequests = new OpenRequests();
	const events: string[] = [];
	const resolvers: Array<(answer: PoolAnswer) => void> = [];
	let acceptsRequest: JobDispatcher['acceptsRequest'] | undefined;
	const node = {
		desiredState: () => ({
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
		}),
		waitForDesiredState: async () => undefined,
		submit: async () =>
			new Promise<PoolAnswer>((resolve) => {
				resolvers.push(resolve);
			}),
		handleCallerDisconnect: () => undefined,
		cancel: async () => 'unknown' as const,
		getJobState: async () => 'completed',
		countPendingJobs: async () => undefined,
		isStopping: () => acceptsRequest !== undefined,
		acceptsRequest: (id: string, needsMs: number) =>
			acceptsRequest?.(id, needsMs) ?? true,
		handleRejectedRequest: () => undefined,
		pendingJobCount: 0,
		beginStop(decide: JobDispatcher['acceptsRequest']) {
			acceptsRequest = decide;
		},
		answerRemainingJobs() {
			events.push('answer');
			for (const resolve of resolvers) {
				resolve({kind: 'may-have-run', reason: 'stopping'});
			}
		},
		close() {
			events.push('close');
		},
	};
	const server = createCallerServer(node, openRequests);
	callerServer = server;
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const connection = connect((server.address() as AddressInfo).port);
	caller = connection;
	connection.write(getRequest);
	await new Promise((resolve) => {
		connection.once('data', resolve);
	});
	const stop = new ProcessStop(
		{sentAtMs: now(), handledAtMs: now(), graceMs: 6000},
		{
			node,
			log: {write: () => undefined},
			delay: new EventLoopDelay(1e9),
			callerServer: server,
			openRequests,
			readProcessGauges: () => ({}),
			now,
			exit() {
				events.push(`exit with ${openRequests.readCount} open`);
				server.closeAllConnections();
			},
		},
	);
	return {stop, clock, connection, events};
}

/** Keeps the event loop busy. */
function block(durationMs: number): void {
	const endsAtMs = performance.now() + durationMs;
	while (performance.now() < endsAtMs) {
		// Nothing else may run.
	}
}

describe('ProcessStop', () => {
	it('answers a request that arrived on an idle connection during a long turn of the event loop', async () => {
		const {stop, clock, connection, events} = await createStop();
		stop.begin();
		clock.offsetMs = 2700;
		connection.write(getRequest);
		block(200);
		expect(await text(connection)).toMatch(/^HTTP\/1.1 200 /v);
		await expect
			.poll(() => events, {timeout: 20_000})
			.toEqual(['close', 'exit with 0 open']);
	});

	it('answers requests on connections that wait to be accepted after a long turn of the event loop', async () => {
		const {stop, clock, events} = await createStop();
		stop.begin();
		clock.offsetMs = 2700;
		const answers = Array.from({length: 6}, async () => {
			const other = connect((callerServer!.address() as AddressInfo).port);
			other.write(getRequest);
			return text(other);
		});
		block(200);
		const received = await Promise.all(answers);
		expect(received.map((answer) => answer.slice(0, 12))).toEqual(
			Array.from({length: 6}, () => 'HTTP/1.1 200'),
		);
		await expect
			.poll(() => events, {timeout: 20_000})
			.toEqual(['close', 'exit with 0 open']);
	});

	it('refuses a request that is read before a late timer has given the last answers, and gives them then', async () => {
		const {stop, clock, connection, events} = await createStop();
		stop.begin();
		connection.write(postRequest);
		await expect.poll(() => callerServer?.listening).toBe(true);
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
		const lastAnswer = text(connection);
		const other = connect((callerServer!.address() as AddressInfo).port);
		await new Promise((resolve) => {
			other.once('connect', resolve);
		});
		clock.offsetMs = 5400;
		other.write(postRequest);
		expect(await text(other)).toMatch(/^HTTP\/1.1 503 .*stopping/sv);
		expect(await lastAnswer).toMatch(/^HTTP\/1.1 502 /v);
		clock.offsetMs = 5500;
		await expect
			.poll(() => events, {timeout: 20_000})
			.toEqual(['answer', 'close', 'exit with 0 open']);
	});
});
