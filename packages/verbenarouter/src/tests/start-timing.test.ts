import {type StartCommand} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {StartTiming} from '../pool/start-timing.js';

const command: StartCommand = {
	worker: {
		id: 'w1',
		service: 'menu',
		address: 'w1:80',
		zone: 'a',
		state: 'ready',
		capacity: {processorMillis: 1000, memoryMb: 64, accelerators: 0},
		labels: [],
		bornMs: 1,
	},
	fencingToken: 7,
	task: 'j1.0.0.0',
	run: 1,
	spec: '',
	leaseExpiresAtMs: 6000,
	decidedAtMs: 100,
	sendUntilMs: 380,
};

/** Describes a start that leaves and is confirmed at these times, with the worker's clock at the confirmation. */
function describeStart(sentAtMs: number, now: number, clockMs: number) {
	const timing = new StartTiming(command, 1000);
	timing.recordSending(sentAtMs);
	return timing.describe({kind: 'done', clockMs}, now);
}

describe('StartTiming', () => {
	it.each([
		['is silent on a timely start', 110, 115, 5015, undefined],
		['tells when a start left late', 560, 565, 5001, 'sent-late'],
		['tells when a start was answered late', 110, 400, 5015, 'answered-late'],
		['tells when little of the lease was left', 110, 115, 5462, 'short-lease'],
	])('%s', (_case, sentAtMs, now, clockMs, reason) => {
		expect(describeStart(sentAtMs, now, clockMs)?.reason).toBe(reason);
	});

	it('gives the times and the lease that was left', () => {
		expect(describeStart(210, 215, 5462)).toMatchObject({
			event: 'start-late',
			id: 'j1',
			run: 1,
			inputs: {sinceDecisionMs: 110, sinceSendingMs: 5, leaseLeftMs: 538},
		});
	});
});
