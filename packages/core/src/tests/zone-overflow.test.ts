import {describe, expect, it} from 'vitest';
import {
	ZoneOverflow,
	defaultOverflowSettings,
	isRefusedForLackOfRoom,
	type ZoneRoom,
} from '../zone-overflow.js';
import {poolJobFixture} from './pool-fixtures.js';

const {maxOverflows, reportDelayMs} = defaultOverflowSettings;
/** Needs 54 cores in all. */
const job = poolJobFixture('j1', 2);

function roomFixture(zone: string, spareMillis: number): ZoneRoom {
	return {zone, leader: `leader-${zone}`, spareMillis};
}

describe('ZoneOverflow', () => {
	it('chooses the zone with the most room', () => {
		const rooms = [
			roomFixture('b', 60_000),
			roomFixture('c', 90_000),
			roomFixture('d', 70_000),
		];
		expect(new ZoneOverflow().choose(job, ['a'], rooms, 0)?.zone).toBe('c');
	});

	it('chooses none if no zone has room for all tasks of the job', () => {
		const rooms = [roomFixture('b', 53_999), roomFixture('c', 0)];
		expect(new ZoneOverflow().choose(job, ['a'], rooms, 0)).toBeUndefined();
		const weightless = poolJobFixture('j2', 1, {processorMillis: 0});
		expect(
			new ZoneOverflow().choose(weightless, ['a'], [roomFixture('b', 0)], 0),
		).toBeUndefined();
	});

	it('does not choose a zone whose leader has refused the job', () => {
		const rooms = [roomFixture('b', 60_000), roomFixture('c', 90_000)];
		const overflow = new ZoneOverflow();
		expect(overflow.choose(job, ['a', 'leader-c'], rooms, 0)?.zone).toBe('b');
		expect(
			overflow.choose(job, ['a', 'leader-c', 'leader-b'], rooms, 0),
		).toBeUndefined();
	});

	it('sends a job to a limited number of other zones', () => {
		const rooms = [roomFixture('z', 900_000)];
		const refusedBy = Array.from(
			{length: maxOverflows + 1},
			(_, index) => `leader-${index}`,
		);
		const overflow = new ZoneOverflow();
		expect(overflow.choose(job, refusedBy.slice(1), rooms, 0)?.zone).toBe('z');
		expect(overflow.choose(job, refusedBy, rooms, 0)).toBeUndefined();
	});

	it('subtracts the jobs that it has sent to a zone until its leader has reported again', () => {
		const rooms = [roomFixture('b', 120_000)];
		const overflow = new ZoneOverflow();
		const choices = [0, 1, 2, reportDelayMs + 1].map((now) =>
			overflow.choose(job, ['a'], rooms, now),
		);
		expect(choices.map((room) => room?.zone)).toEqual([
			'b',
			'b',
			undefined,
			'b',
		]);
	});

	it('spreads jobs over the zones that have room', () => {
		const rooms = [roomFixture('b', 120_000), roomFixture('c', 110_000)];
		const overflow = new ZoneOverflow();
		const choices = [0, 1, 2, 3, 4].map(
			(now) => overflow.choose(job, ['a'], rooms, now)?.zone,
		);
		expect(choices).toEqual(['b', 'c', 'b', 'c', undefined]);
	});
});

describe('isRefusedForLackOfRoom', () => {
	it('is true only for a refusal that workers of another zone could avoid', () => {
		expect(
			isRefusedForLackOfRoom({kind: 'not-run', reason: 'overloaded'}),
		).toBe(true);
		expect(
			isRefusedForLackOfRoom({kind: 'not-run', reason: 'no-workers'}),
		).toBe(true);
		expect(
			isRefusedForLackOfRoom({kind: 'not-run', reason: 'cannot-fit'}),
		).toBe(false);
		expect(
			isRefusedForLackOfRoom({kind: 'may-have-run', reason: 'leader-lost'}),
		).toBe(false);
		expect(isRefusedForLackOfRoom({kind: 'completed'})).toBe(false);
	});
});
