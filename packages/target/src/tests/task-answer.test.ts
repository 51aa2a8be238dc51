import {describe, expect, it} from 'vitest';
import {toTaskOutcome, type TargetAnswer} from '../task-answer.js';

const createAnswer = (change: Partial<TargetAnswer>): TargetAnswer => ({
	status: 200,
	task: 'job.0',
	started: 'yes',
	body: '{"output": 1}',
	...change,
});
const fullBody = '{"reason": "full", "retryAfterMs": 70}';
const failureBody = '{"message": "no rice"}';
const withoutHeaders = {task: undefined, started: undefined};

describe('toTaskOutcome', () => {
	it.each<[string, Partial<TargetAnswer>]>([
		['completed', {}],
		['completed', {body: '{"output": null}'}],
		['failed', {status: 500, body: failureBody}],
		['not-started', {status: 503, started: 'no', body: fullBody}],
		['unknown', {status: 502, body: failureBody, ...withoutHeaders}],
		['unknown', {status: 503, body: fullBody, ...withoutHeaders}],
		['unknown', {status: 503, started: 'no', body: fullBody, task: 'job.1'}],
		['unknown', {task: 'job.1'}],
		['unknown', {task: ['job.0', 'job.1']}],
		['unknown', {started: 'no', body: fullBody}],
		['unknown', {status: 503, started: 'no', body: '{}'}],
		['unknown', {status: 500, started: undefined, body: failureBody}],
		['unknown', {status: 500, body: '<html>'}],
		['unknown', {body: '{"output": '}],
		['unknown', {body: '{}'}],
	])('returns %s for %j', (kind, change) => {
		expect(toTaskOutcome(createAnswer(change), 'job.0', 5).kind).toBe(kind);
	});

	it('keeps the reason and retryAfterMs of a refusal', () => {
		expect(
			toTaskOutcome(
				createAnswer({status: 503, started: 'no', body: fullBody}),
				'job.0',
				5,
			),
		).toMatchObject({reason: 'full', retryAfterMs: 70});
	});
});
