import {describe, expect, it} from 'vitest';
import {CancelledJobs} from '../pool/cancelled-jobs.js';

describe('CancelledJobs', () => {
	it('returns only jobs that were not known, so that each is handled once', () => {
		const jobs = new CancelledJobs();
		expect(jobs.add(['j1', 'j2'], 0)).toEqual(['j1', 'j2']);
		expect(jobs.add(['j2', 'j3'], 10)).toEqual(['j3']);
	});

	it('passes jobs on for 30 s', () => {
		const jobs = new CancelledJobs();
		jobs.add(['j1'], 0);
		jobs.add(['j2'], 10_000);
		expect(jobs.list(29_999)).toEqual(['j1', 'j2']);
		expect(jobs.list(30_000)).toEqual(['j2']);
	});
});
