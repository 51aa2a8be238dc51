import {describe, expect, it} from 'vitest';
import {
	Overlay,
	defaultOverlaySettings,
	type ConnectionState,
	type OverlayView,
} from '../overlay.js';
import {type Member} from '../member-list.js';

const {unreachableMs, firstContactMs, probeIntervalMs} = defaultOverlaySettings;

function memberFixture(name: string, change: Partial<Member> = {}): Member {
	return {
		name,
		zone: 'zone-a',
		address: `${name}:1`,
		processorShare: 1,
		...change,
	};
}

/** Creates the overlay of an entry VM that knows seven members in each of two zones; `a0` and `b0` are the first candidates. */
function createOverlay(name: string): Overlay {
	const members = ['a', 'b'].flatMap((letter) =>
		Array.from({length: 7}, (_, index) =>
			memberFixture(`${letter}${index}`, {
				zone: `zone-${letter}`,
				processorShare: index < 3 ? 2 : 1,
			}),
		),
	);
	const overlay = new Overlay(members.find((member) => member.name === name)!);
	for (const member of members) {
		overlay.members.hear(member, 0);
	}

	return overlay;
}

function viewFixture(
	states: ReadonlyArray<readonly [string, ConnectionState]> = [],
	change: Partial<OverlayView> = {},
): OverlayView {
	return {
		connectionState: (address) =>
			states.find(([other]) => other === address)?.[1] ?? 'open',
		liveAddresses: [],
		uninformedAddresses: [],
		leaderAddresses: [],
		meshAddresses: [],
		seeds: ['seed:1'],
		isLeader: false,
		...change,
	};
}

function addressesOf(...names: readonly string[]): readonly string[] {
	return names.map((name) => `${name}:1`);
}

describe('Overlay', () => {
	it('connects a follower to the candidates of its zone, and a candidate to those of all zones and to its followers', () => {
		const follower = createOverlay('a4');
		follower.update(viewFixture([], {liveAddresses: ['b5:1']}), 0);
		expect(follower.isCandidate).toBe(false);
		expect(follower.addresses).toEqual(addressesOf('a0', 'a1', 'a2'));
		const candidate = createOverlay('a1');
		candidate.update(viewFixture([], {liveAddresses: ['a4:1', 'b5:1']}), 0);
		expect(candidate.isCandidate).toBe(true);
		expect(candidate.addresses.toSorted()).toEqual(
			addressesOf('a0', 'a2', 'a4', 'b0', 'b1', 'b2', 'b5').toSorted(),
		);
	});

	it('connects all to each other in a small installation', () => {
		const overlay = new Overlay(memberFixture('a9'));
		for (let index = 0; index < 8; index += 1) {
			overlay.members.hear(memberFixture(`a${index}`), 0);
		}

		overlay.update(viewFixture(), 0);
		expect(overlay.isCandidate).toBe(true);
		expect(overlay.addresses).toHaveLength(9);
	});

	it('connects to leaders that it uses, entry VMs of the last build, those with another list and, without a candidate, the seeds', () => {
		const overlay = createOverlay('a4');
		overlay.update(
			viewFixture(
				[
					['a0:1', 'opening'],
					['a1:1', 'opening'],
					['a2:1', 'opening'],
				],
				{
					leaderAddresses: ['b3:1'],
					meshAddresses: ['old:1'],
					uninformedAddresses: ['new:1'],
				},
			),
			0,
		);
		expect(overlay.addresses).toEqual([
			...addressesOf('a0', 'a1', 'a2', 'b3', 'old', 'new'),
			'seed:1',
		]);
	});

	it('replaces candidates that it cannot reach by the next members, and takes them back', () => {
		const overlay = createOverlay('a4');
		const failed = viewFixture([['a0:1', 'failed']]);
		overlay.update(viewFixture(), 0);
		overlay.update(failed, 20);
		overlay.update(failed, unreachableMs);
		expect(overlay.addresses).toEqual(addressesOf('a0', 'a1', 'a2'));
		overlay.update(failed, 20 + unreachableMs);
		expect(overlay.addresses).toEqual(addressesOf('a1', 'a2', 'a3', 'a0'));
		overlay.update(viewFixture(), 40 + unreachableMs);
		expect(overlay.addresses).toEqual(addressesOf('a0', 'a1', 'a2'));
	});

	it('waits longer for a candidate that has not answered yet, and names it as unheard', () => {
		const overlay = createOverlay('a3');
		const opening = viewFixture([['a0:1', 'opening']]);
		overlay.update(opening, 0);
		overlay.update(opening, 20);
		expect(overlay.unheardCandidates.map(({name}) => name)).toEqual(['a0']);
		overlay.update(opening, firstContactMs);
		expect(overlay.isCandidate).toBe(false);
		overlay.update(opening, 20 + firstContactMs);
		expect(overlay.isCandidate).toBe(true);
		expect(overlay.unheardCandidates).toEqual([]);
	});

	it('does not count a time in which this process read nothing as a failure of others', () => {
		const overlay = createOverlay('a3');
		const failed = viewFixture([['a0:1', 'failed']]);
		overlay.update(viewFixture(), 0);
		overlay.update(failed, 20);
		overlay.excludeStall(700, 740);
		overlay.update(failed, 740);
		expect(overlay.isCandidate).toBe(false);
	});

	it('tries only the first replacements of another zone, which may be cut off as a whole', () => {
		const overlay = createOverlay('a0');
		const failed = viewFixture(
			addressesOf('b0', 'b1', 'b2', 'b3', 'b4', 'b5', 'b6').map((address) => [
				address,
				'failed',
			]),
		);
		const tried = new Set<string>();
		for (let now = 0; now < 9 * probeIntervalMs; now += 100) {
			overlay.update(failed, now);
			for (const address of overlay.addresses) {
				tried.add(address);
			}
		}

		expect(
			[...tried].filter((address) => address.startsWith('b')).toSorted(),
		).toEqual(addressesOf('b0', 'b1', 'b2', 'b3', 'b4', 'b5'));
	});

	it('tries the unreachable members in turn', () => {
		const overlay = createOverlay('a6');
		const failed = viewFixture(
			addressesOf('a0', 'a1', 'a2', 'a3', 'a4', 'a5').map((address) => [
				address,
				'failed',
			]),
		);
		const probed = new Set<string>();
		for (let now = 0; now < 9 * probeIntervalMs; now += 100) {
			overlay.update(failed, now);
			if (now > 3 * probeIntervalMs) {
				for (const address of overlay.addresses) {
					probed.add(address);
				}
			}
		}

		expect(overlay.isCandidate).toBe(true);
		expect([...probed].toSorted()).toEqual(
			addressesOf('a0', 'a1', 'a2', 'a3', 'a4', 'a5', 'b0', 'b1', 'b2'),
		);
	});
});
