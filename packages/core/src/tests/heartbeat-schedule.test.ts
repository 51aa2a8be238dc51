import {describe, expect, it} from 'vitest';
import {
	HeartbeatSchedule,
	computeHeartbeatIntervals,
} from '../heartbeat-schedule.js';

describe('computeHeartbeatIntervals', () => {
	it('keeps the intervals of a small installation', () => {
		expect(
			computeHeartbeatIntervals({peerCount: 6, memberCount: 6}, 20),
		).toEqual({
			fastMs: 100,
			electionMs: 100,
			slowMs: 400,
			roundGapMs: 40,
		});
	});

	it('bounds the heartbeats that a follower sends, however many peers there are', () => {
		for (const peerCount of [1, 6, 28, 35, 50]) {
			const {electionMs, slowMs} = computeHeartbeatIntervals(
				{peerCount, memberCount: peerCount},
				0,
			);
			expect((peerCount * 1000) / electionMs).toBeLessThanOrEqual(126);
			expect((peerCount * 1000) / slowMs).toBeLessThanOrEqual(26);
		}
	});

	it('lengthens the fast interval of a late process, as far as earlier versions accept', () => {
		expect(
			[0, 140, 150, 5000].map(
				(delayMs) =>
					computeHeartbeatIntervals({peerCount: 6, memberCount: 6}, delayMs)
						.fastMs,
			),
		).toEqual([100, 100, 400, 400]);
	});
});

describe('HeartbeatSchedule', () => {
	it('sends to each address at its interval', () => {
		const schedule = new HeartbeatSchedule();
		const intervals = new Map([
			['a', 100],
			['b', 400],
		]);
		const sentTimes: Array<[number, string]> = [];
		for (let now = 1000; now < 1500; now += 20) {
			for (const [, addresses] of schedule.takeDue(intervals, now)) {
				sentTimes.push(
					...[...addresses].map((address): [number, string] => [now, address]),
				);
			}
		}

		expect(sentTimes).toEqual([
			[1000, 'a'],
			[1000, 'b'],
			[1100, 'a'],
			[1200, 'a'],
			[1300, 'a'],
			[1400, 'a'],
			[1400, 'b'],
		]);
	});

	it('tells when the next heartbeat is due', () => {
		const schedule = new HeartbeatSchedule();
		expect(schedule.nextDueMs).toBe(Number.POSITIVE_INFINITY);
		schedule.takeDue(
			new Map([
				['a', 100],
				['b', 400],
			]),
			1000,
		);
		expect(schedule.nextDueMs).toBe(1100);
		schedule.takeDue(new Map([['b', 400]]), 1100);
		expect(schedule.nextDueMs).toBe(1400);
	});

	it('announces a longer interval before the earlier one has passed several times', () => {
		const schedule = new HeartbeatSchedule();
		schedule.takeDue(new Map([['a', 100]]), 1000);
		expect(schedule.takeDue(new Map([['a', 1000]]), 1080)).toEqual(new Map());
		expect(schedule.takeDue(new Map([['a', 1000]]), 1100)).toEqual(
			new Map([[1000, new Set(['a'])]]),
		);
		expect(schedule.takeDue(new Map([['a', 1000]]), 1200)).toEqual(new Map());
	});

	it('sends to all after a reset', () => {
		const schedule = new HeartbeatSchedule();
		schedule.takeDue(new Map([['a', 100]]), 1000);
		schedule.reset();
		expect(schedule.takeDue(new Map([['a', 100]]), 1010).size).toBe(1);
	});
});
