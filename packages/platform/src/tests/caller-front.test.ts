import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type DesiredState} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {createCallerFront, type JobIntake} from '../caller-front.js';
import {HttpHost, type Exchange} from '../http-exchange.js';

let front: Server | undefined;
let host: HttpHost | undefined;

afterEach(() => {
	host?.close();
	front?.close();
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

/** Submits one job to a front whose process does not know a desired state yet. */
async function submitEarly(first: DesiredState | undefined): Promise<{
	readonly exchange: Exchange;
	readonly rejected: readonly string[];
}> {
	const rejected: string[] = [];
	const intake: JobIntake = {
		desiredState: () => undefined,
		firstDesiredState: async () => first,
		submit: async () => ({kind: 'completed'}),
		abandon: () => undefined,
		cancel: async () => false,
		stateOf: async () => undefined,
		pendingCount: async () => undefined,
		isStopping: () => false,
		rejected(id, status, reason) {
			rejected.push(`${id} ${status} ${reason}`);
		},
	};
	front = createCallerFront(intake);
	await new Promise<void>((resolve) => {
		front?.listen(0, '127.0.0.1', resolve);
	});
	host = new HttpHost(`127.0.0.1:${(front.address() as AddressInfo).port}`, 1);
	const exchange = await host.exchange({
		method: 'POST',
		path: '/plans/00000000000000aa',
		headers: {host: 'kitchen.example'},
		body: '{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1}]}',
		timeoutMs: 10_000,
	});
	return {exchange, rejected};
}

describe('a request before the first desired state', () => {
	it('waits for it', async () => {
		const {exchange, rejected} = await submitEarly(state);
		expect([exchange, rejected]).toMatchObject([
			{kind: 'answered', status: 200},
			[],
		]);
	});

	it('is refused as not run, with a log line, when it does not come', async () => {
		const {exchange, rejected} = await submitEarly(undefined);
		expect([exchange, rejected]).toMatchObject([
			{kind: 'answered', status: 503},
			['/plans/00000000000000aa 503 no-desired-state'],
		]);
	});
});
