import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {PendingJobs} from '../pool/pending-jobs.js';

const job: PoolJob = {
	id: 'j1',
	queue: 'macro-check',
	spec: '',
	tasks: [],
	attempt: 'entry/1',
	waitedMs: 0,
	patienceMs: 1000,
};
const notRun: PoolAnswer = {kind: 'not-run', reason: 'overloaded'};

function sentTo(...leaders: readonly string[]): PendingJobs {
	const jobs = new PendingJobs();
	const {pending} = jobs.add(job, () => undefined, 0);
	for (const leader of leaders) {
		jobs.send(pending, leader);
	}

	return jobs;
}

describe('answers of leaders', () => {
	it('say that a job has not run when only that leader had it', () => {
		expect(sentTo('a').acceptable('j1', 'a', notRun)).toEqual(notRun);
		expect(sentTo('a', 'a').acceptable('j1', 'a', notRun)).toEqual(notRun);
	});

	it('are left out when another leader has the job now', () => {
		expect(sentTo('a', 'b').acceptable('j1', 'a', notRun)).toBeUndefined();
	});

	it('do not say so when the job went to another leader and came back', () => {
		expect(sentTo('a', 'b', 'a').acceptable('j1', 'a', notRun)).toEqual({
			kind: 'may-have-run',
			reason: 'leader-lost',
		});
	});

	it('are passed on from any leader when the job has completed', () => {
		const completed: PoolAnswer = {kind: 'completed'};
		expect(sentTo('a', 'b').acceptable('j1', 'a', completed)).toEqual(
			completed,
		);
	});
});
