import {describe, expect, it} from 'vitest';
import {MemberList, type Member} from '../member-list.js';
import {MemberListSchedule} from '../member-list-schedule.js';

function memberFixture(name: string, change: Partial<Member> = {}): Member {
	return {
		name,
		zone: 'zone-a',
		address: `${name}:1`,
		processorShare: 1,
		...change,
	};
}

function createList(name: string): MemberList {
	return new MemberList(memberFixture(name));
}

function namesOf({all}: MemberList): readonly string[] {
	return all.map(({name}) => name).toSorted();
}

describe('MemberList', () => {
	it('has the same version for the same members in any order, and another after any change', () => {
		const first = createList('a');
		const second = createList('b');
		first.hear(memberFixture('b'), 1000);
		first.hear(memberFixture('c'), 1000);
		second.hear(memberFixture('c'), 2000);
		second.hear(memberFixture('a'), 2000);
		expect(first.version).toBe(second.version);
		expect(first.hear(memberFixture('c', {address: 'c:2'}), 3000)).toBe(true);
		expect(first.version).not.toBe(second.version);
		expect(first.hear(memberFixture('c', {address: 'c:2'}), 3100)).toBe(false);
	});

	it('passes on when an entry was last heard, so that one that has gone expires everywhere', () => {
		const lists = [createList('a'), createList('b'), createList('c')];
		lists[0]!.hear(memberFixture('gone'), 0);
		for (let now = 0; now <= 121_000; now += 10_000) {
			for (const [index, list] of lists.entries()) {
				const others = lists.filter((_, other) => other !== index);
				for (const other of others) {
					list.hear(other.all[0]!, now);
					list.receive(other.toAddresses(now), now);
				}
			}

			if (now === 60_000) {
				expect(lists.map((list) => list.all.length)).toEqual([4, 4, 4]);
			}
		}

		for (const list of lists) {
			list.removeExpired(121_000);
		}

		expect(lists.map((list) => namesOf(list))).toEqual(
			lists.map(() => ['a', 'b', 'c']),
		);
	});

	it('keeps members that only the store lists for a short time, and passes them on only once they are heard', () => {
		const list = createList('a');
		list.addRegistered([memberFixture('b'), memberFixture('c')], 1000);
		expect(namesOf(list)).toEqual(['a', 'b', 'c']);
		list.hear(memberFixture('c'), 2000);
		expect(list.toAddresses(2000).map(({name}) => name)).toEqual(['a', 'c']);
		list.removeExpired(4100);
		expect(namesOf(list)).toEqual(['a', 'c']);
	});

	it('accepts entries of the last build, which have neither share nor age', () => {
		const list = createList('a');
		list.receive([{name: 'b', zone: 'zone-b', address: 'b:1'}], 1000);
		expect(list.all.at(-1)).toEqual(
			memberFixture('b', {zone: 'zone-b', processorShare: 0}),
		);
		list.hear(memberFixture('b', {zone: 'zone-b'}), 2000);
		list.receive([{name: 'b', zone: 'zone-b', address: 'b:1'}], 3000);
		expect(list.all.at(-1)?.processorShare).toBe(1);
	});
});

describe('MemberListSchedule', () => {
	const isDue = (schedule: MemberListSchedule, version: string, now: number) =>
		schedule.takeDue(new Set(['b:1']), version, now).size === 1;

	it('sends nothing to a peer with the same members but for a refresh after 30 s', () => {
		const schedule = new MemberListSchedule();
		expect(isDue(schedule, 'v1', 1000)).toBe(false);
		schedule.recordPeer('b:1', 'v1');
		expect(
			[1000, 11_000, 30_900, 31_000, 31_100].map((now) =>
				isDue(schedule, 'v1', now),
			),
		).toEqual([false, false, false, true, false]);
	});

	it('sends changes every 300 ms at most, and an unchanged list that the peer does not take over every 4 s', () => {
		const schedule = new MemberListSchedule();
		schedule.recordPeer('b:1', 'other');
		expect(
			[0, 100, 200, 300, 400, 500, 600].map((now) =>
				isDue(schedule, `v${now}`, 1000 + now),
			),
		).toEqual([true, false, false, true, false, false, true]);
		expect(
			[1700, 5500, 5600].map((now) => isDue(schedule, 'v600', now)),
		).toEqual([false, false, true]);
	});

	it('sends the list every 4 s to a peer of the last build, which announces no version', () => {
		const schedule = new MemberListSchedule();
		schedule.recordPeer('b:1', undefined);
		expect(
			[1000, 4900, 5000, 9000].map((now) => isDue(schedule, 'v', now)),
		).toEqual([true, false, true, true]);
	});
});
