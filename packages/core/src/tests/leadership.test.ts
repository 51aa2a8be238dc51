import {describe, expect, it} from 'vitest';
import {
	Leadership,
	defaultLeadershipSettings,
	type Heartbeat,
} from '../leadership.js';

const zones = ['zone-a', 'zone-b'];
const {
	startGraceMs,
	noPeersGraceMs,
	leaderCheckMs,
	candidateStaggerMs,
	mergeDelayMs,
} = defaultLeadershipSettings;

function heartbeatFixture(
	name: string,
	change: Partial<Heartbeat> = {},
): Heartbeat {
	return {
		name,
		zone: 'zone-a',
		address: `${name}:1`,
		incarnation: '1',
		intervalMs: 100,
		processorShare: 1,
		isStopping: false,
		isWarm: true,
		leads: {},
		highestToken: 0,
		hears: {},
		yields: {},
		members: [],
		...change,
	};
}

function createLeadership(name: string, zone = 'zone-a'): Leadership {
	const created = new Leadership({name, zone, processorShare: 1}, zones);
	created.setScope('region');
	return created;
}

/** Returns the heartbeat of an entry VM with the state of its leadership. */
function createLeadershipHeartbeat(
	name: string,
	zone: string,
	leadership: Leadership,
): Heartbeat {
	return heartbeatFixture(name, {
		zone,
		isWarm: leadership.isWarm,
		leads: Object.fromEntries(leadership.ledZones),
		highestToken: leadership.highestToken,
		yields: Object.fromEntries(leadership.successors),
	});
}

/**
 * Ticks every 20 ms from one time to another, with a heartbeat of each peer before each tick; returns the zones
 * claimed.
 */
function simulate(
	leadership: Leadership,
	fromMs: number,
	toMs: number,
	peers: readonly Heartbeat[] = [],
): readonly string[] {
	const claimed: string[] = [];
	for (let now = fromMs; now <= toMs; now += 20) {
		for (const peer of peers) {
			leadership.receiveHeartbeat(peer, now);
		}

		claimed.push(
			...leadership
				.tick(now)
				.flatMap((change) => (change.kind === 'claimed' ? [change.zone] : [])),
		);
	}

	return claimed;
}

describe('claiming zones', () => {
	it('claims nothing during the start grace, which is longer without any heartbeat', () => {
		const leadership = createLeadership('m');
		expect(simulate(leadership, 0, noPeersGraceMs - 20)).toEqual([]);
		expect(simulate(leadership, noPeersGraceMs, noPeersGraceMs + 100)).toEqual([
			'zone-a',
		]);
		const second = createLeadership('a');
		const peers = [heartbeatFixture('b', {zone: 'zone-b'})];
		expect(
			simulate(second, 0, startGraceMs + leaderCheckMs + 40, peers),
		).toEqual(zones);
	});

	it('claims only its own zone while no process is warm; a warm process claims all zones', () => {
		const cold = ['c', 'd'].map((name) =>
			heartbeatFixture(name, {
				isWarm: false,
				zone: name === 'd' ? 'zone-b' : 'zone-a',
			}),
		);
		expect(simulate(createLeadership('a'), 0, 1000, cold)).toEqual(['zone-a']);
		expect(simulate(createLeadership('x'), 0, 1000, cold)).toEqual(['zone-a']);
		const late = createLeadership('x');
		const warmPeer = heartbeatFixture('w', {zone: 'zone-b'});
		expect(simulate(late, 0, 250, [...cold, warmPeer])).toEqual([]);
		const warm = createLeadership('x');
		warm.setWarm();
		expect(simulate(warm, 0, 1000, cold)).toEqual(zones);
	});

	it('merges all zones under one leader once the leaders are warm', () => {
		const [a, b] = [createLeadership('a'), createLeadership('b', 'zone-b')];
		const drops: string[] = [];
		for (let now = 0; now <= 6000; now += 20) {
			a.receiveHeartbeat(createLeadershipHeartbeat('b', 'zone-b', b), now);
			b.receiveHeartbeat(createLeadershipHeartbeat('a', 'zone-a', a), now);
			a.tick(now);
			for (const change of b.tick(now)) {
				if (change.kind === 'dropped') {
					drops.push(`${change.zone} ${change.reason} after ${now >= 3000}`);
				}
			}
		}

		expect(drops).toEqual(['zone-b yielded after true']);
		expect([...a.ledZones.keys()].toSorted()).toEqual(zones);
	});

	it('claims a zone only after the better candidate has failed to claim it', () => {
		const leadership = createLeadership('b');
		const peers = [heartbeatFixture('a')];
		expect(simulate(leadership, 0, startGraceMs - 20, peers)).toEqual([]);
		expect(
			simulate(
				leadership,
				startGraceMs,
				startGraceMs + 2 * candidateStaggerMs,
				peers,
			),
		).toContain('zone-a');
	});

	it('claims nothing while a peer reports that the leader is live', () => {
		const leadership = createLeadership('a');
		const peers = [heartbeatFixture('b', {hears: {'zone-a': 5, 'zone-b': 5}})];
		expect(simulate(leadership, 0, 3000, peers)).toEqual([]);
	});

	it('does not claim a zone without a live entry VM', () => {
		const leadership = createLeadership('a');
		expect(simulate(leadership, 0, 3000, [heartbeatFixture('c')])).toEqual([
			'zone-a',
		]);
	});

	it('claims a zone within 150 ms after the connection to its leader breaks', () => {
		const leadership = createLeadership('b');
		const leader = heartbeatFixture('a', {leads: {'zone-a': 5, 'zone-b': 5}});
		simulate(leadership, 0, 2000, [leader]);
		leadership.markDisconnected('a');
		expect(simulate(leadership, 2020, 2150)).toContain('zone-a');
	});

	it('claims with a token that differs from those of entry VMs claiming at the same time', () => {
		const tokens = ['a', 'b', 'edge-1', 'edge-2'].map((name) => {
			const leadership = createLeadership(name);
			simulate(leadership, 0, noPeersGraceMs + 100);
			return leadership.ledZones.get('zone-a');
		});
		expect(new Set(tokens).size).toBe(tokens.length);
	});
});

describe('refused fencing tokens', () => {
	it('claims again with a higher token when the present token is refused, and ignores the refusal of an earlier one', () => {
		const leadership = createLeadership('a');
		const peers = [heartbeatFixture('b')];
		simulate(leadership, 0, 1000, peers);
		const first = leadership.ledZones.get('zone-a')!;
		expect(leadership.handleTokenRefusal('zone-a', first, 1000)).toHaveLength(
			1,
		);
		const second = leadership.ledZones.get('zone-a')!;
		expect(second).toBeGreaterThan(first);
		expect(leadership.handleTokenRefusal('zone-a', first, 1001)).toEqual([]);
		expect(leadership.ledZones.get('zone-a')).toBe(second);
	});

	it('claims all of its zones with one new token when a worker of one zone refuses the present token', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b', {zone: 'zone-b'})]);
		const first = leadership.ledZones.get('zone-a')!;
		expect(leadership.ledZones.get('zone-b')).toBe(first);
		const changes = leadership.handleTokenRefusal('zone-b', first, 1000);
		const second = leadership.ledZones.get('zone-b')!;
		expect(second).toBeGreaterThan(first);
		expect(changes).toEqual(
			zones.map((zone) => ({kind: 'claimed', zone, token: second})),
		);
	});

	it('drops the zone when it has no live peers, and claims nothing until a peer is live again', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [
			heartbeatFixture('b'),
			heartbeatFixture('c'),
		]);
		simulate(leadership, 1020, 3000);
		leadership.handleTokenRefusal(
			'zone-a',
			leadership.ledZones.get('zone-a')!,
			3000,
		);
		expect(leadership.ledZones.size).toBe(0);
		expect(simulate(leadership, 3020, 9000)).toEqual([]);
		expect(
			simulate(leadership, 9020, 10_000, [heartbeatFixture('b')]),
		).toContain('zone-a');
	});
});

describe('dropping zones', () => {
	it('drops a zone when a peer reports a leader with a higher token', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b')]);
		const higher = leadership.ledZones.get('zone-a')! + 1;
		leadership.receiveHeartbeat(
			heartbeatFixture('b', {hears: {'zone-a': higher}}),
			1020,
		);
		expect(leadership.tick(1020)).toMatchObject([
			{kind: 'dropped', zone: 'zone-a', reason: 'outranked'},
		]);
	});

	it('yields to a leader of more zones that has been live for the merge delay', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000);
		const other = heartbeatFixture('b', {
			zone: 'zone-b',
			leads: {'zone-b': 9, 'zone-c': 9},
		});
		simulate(leadership, 1020, 1020 + mergeDelayMs - 40, [other]);
		expect(leadership.ledZones.size).toBe(1);
		simulate(leadership, 1020 + mergeDelayMs, 1100 + mergeDelayMs, [other]);
		expect(leadership.ledZones.size).toBe(0);
		expect(leadership.successors.get('zone-a')).toBe('b');
	});

	it('hands its zones over on shutdown to the best candidate, which claims them at once', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b', {zone: 'zone-b'})]);
		leadership.stop(1000);
		expect(leadership.ledZones.size).toBe(0);
		const successor = createLeadership('b', 'zone-b');
		successor.receiveHeartbeat(
			heartbeatFixture('a', {
				isStopping: true,
				yields: Object.fromEntries(leadership.successors),
			}),
			1010,
		);
		expect(successor.tick(1010).map(({zone}) => zone)).toEqual(zones);
	});

	it('drops a zone whose entry VMs and workers are all unreachable', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b', {zone: 'zone-b'})]);
		expect(leadership.releaseIfUnreachable('zone-b', false, 1000)).toEqual([]);
		expect(leadership.releaseIfUnreachable('zone-b', true, 3000)).toEqual([]);
		expect(leadership.releaseIfUnreachable('zone-b', false, 3000)).toHaveLength(
			1,
		);
	});
});
