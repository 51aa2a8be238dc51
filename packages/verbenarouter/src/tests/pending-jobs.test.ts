import {
	type PoolAnswer,
	type PoolJob,
	type ZoneLeader,
} from '@verbenarouter/core';
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

function leaderFixture(name: string): ZoneLeader {
	return {name, token: 1};
}

/** Returns pending jobs with `job` sent to each of the leaders in turn. */
function createPendingJobs(...leaders: readonly string[]): PendingJobs {
	const jobs = new PendingJobs();
	const {pending} = jobs.add(job, () => undefined, 0);
	for (const leader of leaders) {
		jobs.markSent(pending, leaderFixture(leader));
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

describe('PendingJobs.markSent', () => {
	it('returns whether a leader may have started the job before', () => {
		const jobs = new PendingJobs();
		const {pending} = jobs.add(job, () => undefined, 0);
		expect(jobs.markSent(pending, leaderFixture('a'), ['zone-a'])).toBe(false);
		expect(jobs.markSent(pending, leaderFixture('a'), ['zone-a'])).toBe(true);
		expect(jobs.markSent(pending, leaderFixture('b'), ['zone-a'])).toBe(true);
		expect(pending.sentTo).toBe('b');
	});

	it('unites the zones of all leaders that had the job, and keeps all zones after a leader that ignores them', () => {
		const jobs = new PendingJobs();
		const {pending} = jobs.add(job, () => undefined, 0);
		jobs.markSent(pending, leaderFixture('a'), ['zone-a']);
		expect(pending.zones).toEqual(['zone-a']);
		jobs.markSent(pending, leaderFixture('b'), ['zone-b']);
		expect(pending.zones).toEqual(['zone-a', 'zone-b']);
		jobs.markSent(pending, leaderFixture('c'));
		jobs.markSent(pending, leaderFixture('a'), ['zone-a']);
		expect(pending.zones).toBeUndefined();
	});
});

describe('PendingJobs.redirect', () => {
	it('forgets a leader that has refused the job for certain', () => {
		const jobs = createPendingJobs('a');
		const pending = jobs.get('j1')!;
		expect(jobs.isRefusedForCertain(pending, 'a')).toBe(true);
		jobs.redirect(pending, 'a', 'zone-b');
		expect(pending).toMatchObject({
			overflowZone: 'zone-b',
			refusedBy: ['a'],
			sentTo: undefined,
		});
		expect(jobs.markSent(pending, leaderFixture('b'), ['zone-b'])).toBe(false);
		expect(pending.zones).toEqual(['zone-b']);
		expect(jobs.filterAnswer('j1', 'b', notRun)).toEqual(notRun);
	});

	it('keeps `may-have-run` if the leader of the other zone was lost and the next one refuses', () => {
		const jobs = createPendingJobs('a');
		const pending = jobs.get('j1')!;
		jobs.redirect(pending, 'a', 'zone-b');
		jobs.markSent(pending, leaderFixture('b'), ['zone-b']);
		expect(jobs.markSent(pending, leaderFixture('c'), ['zone-b'])).toBe(true);
		expect(pending.zones).toEqual(['zone-b']);
		expect(jobs.filterAnswer('j1', 'c', notRun)?.kind).toBe('may-have-run');
		expect(jobs.isRefusedForCertain(pending, 'c')).toBe(false);
	});

	it('ignores late answers without a result of the leader that refused the job', () => {
		const jobs = createPendingJobs('a');
		const pending = jobs.get('j1')!;
		jobs.redirect(pending, 'a', 'zone-b');
		jobs.markSent(pending, leaderFixture('b'), ['zone-b']);
		expect(jobs.filterAnswer('j1', 'a', notRun)).toBeUndefined();
	});

	it('does not count a refusal as certain if the job was sent twice, even to the same leader', () => {
		for (const leaders of [
			['a', 'a'],
			['b', 'a'],
		]) {
			const jobs = createPendingJobs(...leaders);
			expect(jobs.isRefusedForCertain(jobs.get('j1')!, 'a')).toBe(false);
		}
	});

	it('notes that the only caller has lost its connection until another one waits for the job', () => {
		const jobs = createPendingJobs('a');
		const pending = jobs.get('j1')!;
		pending.callerLostAtMs = 5;
		jobs.add(job, () => undefined, 10);
		expect(pending.callerLostAtMs).toBeUndefined();
	});
});

describe('PendingJobs.markUntouched', () => {
	// A submission that a late leader dropped unread was sent again as one that may have run, and its refusal became 502.
	it('lets the next leader answer `not-run` after the former one has started nothing', () => {
		const jobs = createPendingJobs('a');
		jobs.markUntouched('j1', 'a', job.attempt);
		const pending = jobs.get('j1')!;
		expect(jobs.markSent(pending, leaderFixture('b'))).toBe(false);
		expect(jobs.filterAnswer('j1', 'b', notRun)).toEqual(notRun);
		expect(jobs.isRefusedForCertain(pending, 'b')).toBe(true);
	});

	it.each([
		['another attempt', ['a'], 'a', 'entry/2'],
		['a leader that never had the job', ['a'], 'b', job.attempt],
		['one of several leaders', ['a', 'b'], 'a', job.attempt],
		[
			'a leader that may have been restarted between',
			['a', 'a'],
			'a',
			job.attempt,
		],
	])('ignores a report of %s', (_case, leaders, from, attempt) => {
		const jobs = createPendingJobs(...leaders);
		jobs.markUntouched('j1', from, attempt);
		expect(jobs.markSent(jobs.get('j1')!, leaderFixture('c'))).toBe(true);
	});
});
