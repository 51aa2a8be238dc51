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

/** Returns pending jobs with `job` sent to each of the leaders in turn. */
function createPendingJobs(...leaders: readonly string[]): PendingJobs {
	const jobs = new PendingJobs();
	const {pending} = jobs.add(job, () => undefined, 0);
	for (const leader of leaders) {
		jobs.markSent(pending, leader, 1);
	}

	return jobs;
}

describe('PendingJobs.filterAnswer', () => {
	it('passes on `not-run` when only that leader had the job', () => {
		expect(createPendingJobs('a').filterAnswer('j1', 'a', notRun)).toEqual(
			notRun,
		);
		expect(createPendingJobs('a', 'a').filterAnswer('j1', 'a', notRun)).toEqual(
			notRun,
		);
	});

	it('ignores `not-run` from an earlier leader when another one has the job now', () => {
		expect(
			createPendingJobs('a', 'b').filterAnswer('j1', 'a', notRun),
		).toBeUndefined();
	});

	it('turns `not-run` into `may-have-run` when the job was sent to another leader and back', () => {
		expect(
			createPendingJobs('a', 'b', 'a').filterAnswer('j1', 'a', notRun),
		).toEqual({
			kind: 'may-have-run',
			reason: 'leader-lost',
		});
	});

	it('passes on `completed` from any leader', () => {
		const completed: PoolAnswer = {kind: 'completed'};
		expect(
			createPendingJobs('a', 'b').filterAnswer('j1', 'a', completed),
		).toEqual(completed);
	});
});
