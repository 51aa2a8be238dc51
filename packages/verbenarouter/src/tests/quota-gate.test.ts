import {
	ShareLedger,
	findLimitCapacity,
	type CatalogueItem,
	type Entry,
	type Team,
} from '@verbenarouter/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {type JobOrder} from '../dispatcher.js';
import {QuotaGate} from '../quota-gate.js';

const start = 1_000_000;

const team: Extract<CatalogueItem, {kind: 'team'}> = {
	kind: 'team',
	name: 'kruidhof',
	tokenHash: '0'.repeat(64),
	role: 'caller',
	quota: {concurrency: 3, startsPerSecond: 100},
};

function entryWith(perTeam?: Team['quota']): Entry {
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

function orderOf(entry: Entry, tasks: number, waitMs = 10_000): JobOrder {
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

describe('quota gate of the only entry VM', () => {
	let ledger: ShareLedger;
	let gate: QuotaGate;
	let shortages: number;

	function build(entry: Entry): void {
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
		shortages = 0;
		gate = new QuotaGate(
			ledger,
			() => limits,
			() => {
				shortages += 1;
			},
		);
	}

	/** Starts tasks until the gate holds the next one back. */
	function startAll(order: JobOrder, now: number): number {
		let started = 0;
		while (started < order.job.tasks.length && gate.mayStart(order, now)) {
			gate.started(order, now);
			started += 1;
		}

		return started;
	}

	beforeEach(() => {
		build(entryWith());
	});

	it("holds tasks back beyond the team's concurrency, and lets them go as others end", () => {
		const order = orderOf(entryWith(), 10);
		gate.admitted(order);
		expect([0, 20, 40].map((ms) => startAll(order, start + ms))).toEqual([
			1, 2, 0,
		]);
		expect(shortages).toBeGreaterThan(0);
		gate.ended(order, start + 50);
		expect(startAll(order, start + 50)).toBe(1);
	});

	it('keeps within the limit of the team on the entry', () => {
		const entry = entryWith({concurrency: 1, startsPerSecond: 100});
		build(entry);
		const order = orderOf(entry, 10);
		gate.admitted(order);
		expect([0, 50, 100].map((ms) => startAll(order, start + ms))).toEqual([
			1, 0, 0,
		]);
	});

	it('keeps within the rate, with a tenth of a second saved up at most', () => {
		const entry = entryWith({concurrency: 1000, startsPerSecond: 100});
		build(entry);
		const order = orderOf(entry, 1000);
		gate.admitted(order);
		const starts = Array.from({length: 300}, (_, index) => {
			const now = start + 10 * index;
			const started = startAll(order, now);
			for (let ended = 0; ended < started; ended += 1) {
				gate.ended(order, now);
			}

			return started;
		});
		const total = starts.reduce((sum, count) => sum + count, 0);
		expect(total).toBeGreaterThanOrEqual(290);
		expect(total).toBeLessThanOrEqual(300 + 10);
	});

	it('refuses at once a job that the rate leaves no time for, and says when the waiting ones are through', () => {
		expect(gate.refusal(orderOf(entryWith(), 100, 900), start)?.code).toBe(
			'quota-exhausted',
		);
		const first = orderOf(entryWith(), 50);
		gate.admitted(first);
		expect(gate.refusal(orderOf(entryWith(), 50, 900), start)).toMatchObject({
			code: 'quota-exhausted',
			retryAfterMs: 500,
		});
		gate.settled(first);
		expect(gate.refusal(orderOf(entryWith(), 50, 900), start)).toBe(undefined);
	});
});
