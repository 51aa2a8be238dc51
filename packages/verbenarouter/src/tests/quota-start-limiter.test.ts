import {
	ShareLedger,
	findLimitCapacity,
	type CatalogueItem,
	type Entry,
	type Team,
} from '@verbenarouter/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {type DispatchRequest} from '../active-job.js';
import {QuotaStartLimiter} from '../quota-start-limiter.js';

const start = 1_000_000;

const team: Extract<CatalogueItem, {kind: 'team'}> = {
	kind: 'team',
	name: 'kruidhof',
	tokenHash: '0'.repeat(64),
	role: 'caller',
	quota: {concurrency: 3, startsPerSecond: 100},
};

function createEntry(perTeam?: Team['quota']): Entry {
	return {
		kind: 'entry',
		name: 'price-check',
		owner: 'kruidhof',
		classOfWork: 'price-check',
		idempotent: true,
		needs: {processors: 1, memoryMb: 256, accelerators: 0},
		limits: {
			concurrency: 1000,
			startsPerSecond: 10_000,
			deadlineMs: 10_000,
			largestJob: 1400,
			...(perTeam === undefined ? {} : {perTeam}),
		},
	};
}

function createRequest(
	entry: Entry,
	tasks: number,
	waitMs = 10_000,
): DispatchRequest {
	return {
		identifier: 'zone-a.entry-0.0123456789ab.1.1.tag',
		team,
		entry,
		job: {
			entry: entry.name,
			tasks: Array.from({length: tasks}, () => ({input: null})),
		},
		deadlineAtMs: start + waitMs,
	};
}

describe('QuotaStartLimiter on the only entry VM', () => {
	let ledger: ShareLedger;
	let limiter: QuotaStartLimiter;
	let shortageCount: number;

	function createLimiter(entry: Entry): void {
		const limits = {team: () => team, entry: () => entry};
		ledger = new ShareLedger({
			self: {
				name: 'entry-0',
				zone: 'zone-a',
				incarnation: 'zone-a.entry-0.0123456789ab',
			},
			findCapacity: (resource) => findLimitCapacity(limits, resource),
		});
		ledger.updateMemberSet({
			version: 1,
			members: [{name: 'entry-0', zone: 'zone-a', isLeaving: false}],
		});
		ledger.tick(start);
		shortageCount = 0;
		limiter = new QuotaStartLimiter(
			ledger,
			() => limits,
			() => {
				shortageCount += 1;
			},
		);
	}

	/** Starts tasks until the limiter allows no more; returns the number of tasks started. */
	function startWhileAllowed(request: DispatchRequest, now: number): number {
		let started = 0;
		while (
			started < request.job.tasks.length &&
			limiter.canStart(request, now)
		) {
			limiter.recordStart(request, now);
			started += 1;
		}

		return started;
	}

	beforeEach(() => {
		createLimiter(createEntry());
	});

	it("allows no starts beyond the team's concurrency limit until other tasks end", () => {
		const request = createRequest(createEntry(), 10);
		limiter.recordAdmission(request);
		expect(
			[0, 20, 40].map((ms) => startWhileAllowed(request, start + ms)),
		).toEqual([1, 2, 0]);
		expect(shortageCount).toBeGreaterThan(0);
		limiter.recordEnd(request, start + 50);
		expect(startWhileAllowed(request, start + 50)).toBe(1);
	});

	it('keeps within the per-team limit of the entry', () => {
		const entry = createEntry({concurrency: 1, startsPerSecond: 100});
		createLimiter(entry);
		const request = createRequest(entry, 10);
		limiter.recordAdmission(request);
		expect(
			[0, 50, 100].map((ms) => startWhileAllowed(request, start + ms)),
		).toEqual([1, 0, 0]);
	});

	it('keeps within the rate limit, with a burst of at most a tenth of a second', () => {
		const entry = createEntry({concurrency: 1000, startsPerSecond: 100});
		createLimiter(entry);
		const request = createRequest(entry, 1000);
		limiter.recordAdmission(request);
		const starts = Array.from({length: 300}, (_, index) => {
			const now = start + 10 * index;
			const started = startWhileAllowed(request, now);
			for (let ended = 0; ended < started; ended += 1) {
				limiter.recordEnd(request, now);
			}

			return started;
		});
		const total = starts.reduce((sum, count) => sum + count, 0);
		expect(total).toBeGreaterThanOrEqual(290);
		expect(total).toBeLessThanOrEqual(300 + 10);
	});

	it('refuses a job that the rate limit delays beyond its deadline, with a retry delay that covers the waiting tasks', () => {
		expect(
			limiter.checkAdmission(createRequest(createEntry(), 100, 900), start)
				?.code,
		).toBe('quota-exhausted');
		const first = createRequest(createEntry(), 50);
		limiter.recordAdmission(first);
		expect(
			limiter.checkAdmission(createRequest(createEntry(), 50, 900), start),
		).toMatchObject({
			code: 'quota-exhausted',
			retryAfterMs: 500,
		});
		limiter.recordSettlement(first);
		expect(
			limiter.checkAdmission(createRequest(createEntry(), 50, 900), start),
		).toBe(undefined);
	});
});
