import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type DesiredState} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {createCallerServer, type JobDispatcher} from '../caller-server.js';
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

/** Submits a job while no desired state is known; `firstState` is what the wait for it resolves with. */
async function submitBeforeDesiredState(
	firstState: DesiredState | undefined,
): Promise<{
	readonly exchange: HttpExchangeOutcome;
	readonly rejected: readonly string[];
}> {
	const rejected: string[] = [];
	const dispatcher: JobDispatcher = {
		desiredState: () => undefined,
		waitForDesiredState: async () => firstState,
		submit: async () => ({kind: 'completed'}),
		handleCallerDisconnect: () => undefined,
		cancel: async () => false,
		getJobState: async () => undefined,
		countPendingJobs: async () => undefined,
		isStopping: () => false,
		handleRejectedRequest(id, status, reason) {
			rejected.push(`${id} ${status} ${reason}`);
		},
	};
	callerServer = createCallerServer(dispatcher);
	await new Promise<void>((resolve) => {
		callerServer?.listen(0, '127.0.0.1', resolve);
	});
	client = new HttpHostClient(
		`127.0.0.1:${(callerServer.address() as AddressInfo).port}`,
		1,
	);
	const exchange = await client.exchange({
		method: 'POST',
		path: '/plans/00000000000000aa',
		headers: {host: 'kitchen.example'},
		body: '{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1}]}',
		timeoutMs: 10_000,
	});
	return {exchange, rejected};
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
