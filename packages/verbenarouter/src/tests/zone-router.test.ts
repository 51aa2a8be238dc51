import {
	type DesiredState,
	type PoolAnswer,
	type ZoneRoom,
} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {PendingJobs, type PendingJob} from '../pool/pending-jobs.js';
import {ZoneRouter, type ZoneView} from '../pool/zone-router.js';

const now = 1000;
const refusal: PoolAnswer = {kind: 'not-run', reason: 'overloaded'};

const desiredState: DesiredState = {
	version: 1,
	services: ['menu'],
	limits: {bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
	queues: [
		{
			name: 'macro-check',
			host: '',
			pathPrefix: '/',
			service: 'menu',
			priority: 0,
			mostAttempts: 1,
			stretch: 1.6,
			latencyMs: 60,
		},
	],
};

function roomFixture(zone: string, spareMillis: number): ZoneRoom {
	return {zone, leader: `leader-${zone}`, spareMillis};
}

/** A router in zone a with one job of one task of 8 cores and 100 ms, whose slack is 120 ms. */
function routerFixture(change: Partial<ZoneView>): {
	readonly router: ZoneRouter;
	readonly jobs: PendingJobs;
	readonly pending: PendingJob;
	readonly events: string[];
	readonly requestedZones: string[];
} {
	const requestedZones: string[] = [];
	const jobs = new PendingJobs();
	const events: string[] = [];
	const view: ZoneView = {
		ownZone: 'a',
		zoneCount: 3,
		scope: 'zone',
		desiredState,
		evacuatedZones: new Set(),
		findRooms: () => [],
		ownWaits: undefined,
		requestConnection(zone) {
			requestedZones.push(zone);
		},
		...change,
	};
	const router = new ZoneRouter(
		jobs,
		() => view,
		({event}) => {
			events.push(event);
		},
	);
	const {pending} = jobs.add(
		{
			id: 'j1',
			queue: 'macro-check',
			spec: '',
			attempt: 'entry/1',
			waitedMs: 0,
			patienceMs: 1500,
			tasks: [
				{
					name: 'j1.0.0.0',
					needs: {processorMillis: 8000, memoryMb: 1, accelerators: 0},
					declaredMs: 100,
				},
			],
		},
		() => undefined,
		now,
	);
	return {router, jobs, pending, events, requestedZones};
}

/** Lets the leader of the own zone refuse a job, as it is evacuated. */
function refuseAtHome(
	router: ZoneRouter,
	jobs: PendingJobs,
	pending: PendingJob,
): void {
	expect(router.prepare(pending, now)).toBe(true);
	jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
	expect(router.redirectRefused(pending, 'leader-a', refusal, now)).toBe(true);
}

describe('ZoneRouter', () => {
	it('sends jobs of an evacuated zone to an open one, also if that reports no room', () => {
		const {router, jobs, pending, events} = routerFixture({
			evacuatedZones: new Set(['a', 'b']),
			findRooms: () => [roomFixture('b', 90_000), roomFixture('c', 0)],
		});
		refuseAtHome(router, jobs, pending);
		expect(router.prepare(pending, now)).toBe(true);
		expect([pending.overflowZone, events]).toEqual(['c', ['rerouted']]);
	});

	it('lets a job wait while no leader of an open zone is known, but not if all zones are evacuated', () => {
		const some = routerFixture({evacuatedZones: new Set(['a'])});
		refuseAtHome(some.router, some.jobs, some.pending);
		expect(some.router.prepare(some.pending, now)).toBe(false);
		const all = routerFixture({evacuatedZones: new Set(['a', 'b', 'c'])});
		expect(all.router.prepare(all.pending, now)).toBe(true);
		expect(all.pending.overflowZone).toBeUndefined();
		all.jobs.markSent(all.pending, {name: 'leader-a', token: 1}, ['a']);
		expect(
			all.router.redirectRefused(all.pending, 'leader-a', refusal, now),
		).toBe(false);
	});

	it.each(['overloaded', 'deadline-impossible'] as const)(
		'sends a job that its zone let go home after the other zone has refused it as %s',
		(reason) => {
			const {router, jobs, pending, events} = routerFixture({
				ownWaits: {menu: {narrowMs: 100, wideMs: 100}},
				findRooms: () => [roomFixture('b', 20_000)],
			});
			router.prepare(pending, now);
			expect([pending.overflowZone, events]).toEqual([undefined, []]);
			jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
			const letGo: PoolAnswer = {...refusal, isBalanced: true};
			router.redirectRefused(pending, 'leader-a', letGo, now);
			expect([pending.overflowZone, events]).toEqual(['b', ['balanced']]);
			jobs.markSent(pending, {name: 'leader-b', token: 1}, ['b']);
			const answer: PoolAnswer = {kind: 'not-run', reason, retryAfterMs: 100};
			expect(router.redirectRefused(pending, 'leader-b', answer, now)).toBe(
				true,
			);
			expect(pending.overflowZone).toBeUndefined();
			router.prepare(pending, now);
			expect(pending.overflowZone).toBeUndefined();
		},
	);

	it('sends no job away before a refusal to a leader that is not connected, and asks for the connection', () => {
		const {router, pending, requestedZones} = routerFixture({
			ownWaits: {menu: {narrowMs: 100, wideMs: 100}},
			findRooms: () => [{...roomFixture('b', 20_000), isConnected: false}],
		});
		expect(router.findBalancingWaitMs(pending, now)).toBeUndefined();
		expect(router.prepare(pending, now)).toBe(true);
		expect([pending.overflowZone, requestedZones]).toEqual([undefined, ['b']]);
	});

	it('directs a job of an evacuated zone that waits for a connection to the leader that is connected first', () => {
		const rooms = {
			list: ['b', 'c'].map((zone) => ({
				...roomFixture(zone, zone === 'b' ? 90_000 : 0),
				isConnected: false,
			})),
		};
		const {router, jobs, pending} = routerFixture({
			evacuatedZones: new Set(['a']),
			findRooms: () => rooms.list,
		});
		refuseAtHome(router, jobs, pending);
		router.prepare(pending, now);
		expect(pending.overflowZone).toBe('b');
		rooms.list = rooms.list.map((room) => ({
			...room,
			isConnected: room.zone === 'c',
		}));
		router.prepare(pending, now + 50);
		expect(pending.overflowZone).toBe('c');
	});

	it('keeps jobs at home under one leader for all zones, and while the wait there is short', () => {
		for (const change of [
			{scope: 'region' as const},
			{ownWaits: {menu: {narrowMs: 50, wideMs: 50}}},
		]) {
			const {router, pending} = routerFixture({
				ownWaits: {menu: {narrowMs: 100, wideMs: 100}},
				findRooms: () => [roomFixture('b', 20_000)],
				...change,
			});
			expect(router.findBalancingWaitMs(pending, now)).toBeUndefined();
			expect(router.prepare(pending, now)).toBe(true);
			expect(pending.overflowZone).toBeUndefined();
		}
	});

	it('lets a job that its busy zone refuses wait while the leader of another zone changes, and sends it home if that one has no room', () => {
		for (const [spareMillis, zone] of [
			[20_000, 'b'],
			[0, undefined],
		] as const) {
			const rooms = {list: [roomFixture('b', 0)]};
			const {router, jobs, pending} = routerFixture({
				findRooms: () => rooms.list,
			});
			jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
			const redirect = (time: number) =>
				router.redirectRefused(pending, 'leader-a', refusal, time);
			expect(redirect(now)).toBe(false);
			rooms.list = [];
			expect(redirect(now + 20)).toBe(true);
			expect(router.prepare(pending, now + 40)).toBe(false);
			rooms.list = [roomFixture('b', spareMillis)];
			expect(router.prepare(pending, now + 60)).toBe(true);
			expect(pending.overflowZone).toBe(zone);
		}
	});

	it('lets no job wait for a zone that has had no leader for long', () => {
		const rooms = {list: [roomFixture('b', 0)]};
		const {router, jobs, pending} = routerFixture({
			findRooms: () => rooms.list,
		});
		jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
		router.redirectRefused(pending, 'leader-a', refusal, now);
		rooms.list = [];
		expect(
			router.redirectRefused(pending, 'leader-a', refusal, now + 950),
		).toBe(false);
	});

	it('redirects no job that more than one leader may have', () => {
		const {router, jobs, pending} = routerFixture({
			findRooms: () => [roomFixture('b', 20_000)],
		});
		jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
		jobs.markSent(pending, {name: 'leader-a', token: 1}, ['a']);
		expect(router.redirectRefused(pending, 'leader-a', refusal, now)).toBe(
			false,
		);
	});
});
