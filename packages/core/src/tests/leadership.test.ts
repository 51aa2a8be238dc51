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

function createZonalLeadership(
	name: string,
	zone = 'zone-a',
	processorShare = 1,
): Leadership {
	return new Leadership({name, zone, processorShare}, zones);
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
		// The warm peer is the better candidate for both zones.
		const peers = [heartbeatFixture('b', {zone: 'zone-b'})];
		const claimMs = startGraceMs + candidateStaggerMs;
		expect(simulate(second, 0, claimMs - 20, peers)).toEqual([]);
		expect(
			simulate(second, claimMs, claimMs + leaderCheckMs + 40, peers),
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
		expect(
			leadership.handleTokenRefusal('zone-a', first, false, 1000),
		).toHaveLength(1);
		const second = leadership.ledZones.get('zone-a')!;
		expect(second).toBeGreaterThan(first);
		expect(leadership.handleTokenRefusal('zone-a', first, false, 1001)).toEqual(
			[],
		);
		expect(leadership.ledZones.get('zone-a')).toBe(second);
	});

	it('claims all of its zones with one new token when a worker of one zone refuses the present token', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b', {zone: 'zone-b'})]);
		const first = leadership.ledZones.get('zone-a')!;
		expect(leadership.ledZones.get('zone-b')).toBe(first);
		const changes = leadership.handleTokenRefusal('zone-b', first, false, 1000);
		const second = leadership.ledZones.get('zone-b')!;
		expect(second).toBeGreaterThan(first);
		expect(changes).toEqual(
			zones.map((zone) => ({kind: 'claimed', zone, token: second})),
		);
	});

	// After a restart of all, two entry VMs that did not hear each other yet superseded each other for 0.8 s.
	it('leaves a contested zone to the other leader for a while', () => {
		const leadership = createLeadership('a');
		const peers = [heartbeatFixture('b'), heartbeatFixture('c')];
		simulate(leadership, 0, 1000, peers);
		const refuse = (isAcceptedElsewhere: boolean, now: number) =>
			leadership.handleTokenRefusal(
				'zone-a',
				leadership.ledZones.get('zone-a')!,
				isAcceptedElsewhere,
				now,
			);
		expect(refuse(true, 1000)).toMatchObject([{kind: 'claimed'}]);
		expect(refuse(true, 1040)).toEqual([
			{kind: 'dropped', zone: 'zone-a', reason: 'contested'},
		]);
		expect(simulate(leadership, 1060, 1420, peers)).toEqual([]);
		const other = heartbeatFixture('b', {leads: {'zone-a': 9}});
		expect(simulate(leadership, 1440, 3000, [other])).toEqual([]);
		expect(simulate(leadership, 3020, 5000, peers)).toContain('zone-a');
	});

	it('soon reaches the token of a leader of long ago that no worker accepts less than', () => {
		const leadership = createLeadership('a');
		simulate(leadership, 0, 1000, [heartbeatFixture('b')]);
		const target = leadership.ledZones.get('zone-a')! + 400_000 * 4000;
		let refusals = 0;
		while (leadership.ledZones.get('zone-a')! < target) {
			refusals += 1;
			leadership.handleTokenRefusal(
				'zone-a',
				leadership.ledZones.get('zone-a')!,
				false,
				1000 + refusals * 5,
			);
		}

		expect(refusals).toBeLessThan(8);
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
			false,
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

describe('leaders of zones', () => {
	it('claims its zone and no other, warm or not', () => {
		const peers = [heartbeatFixture('b', {zone: 'zone-b'})];
		const cold = createZonalLeadership('a');
		expect(simulate(cold, 0, 6000, peers)).toEqual(['zone-a']);
		const warm = createZonalLeadership('c');
		warm.setWarm();
		expect(simulate(warm, 0, 6000, peers)).toEqual(['zone-a']);
	});

	it('does not merge leaders of zones once they are warm', () => {
		const a = createZonalLeadership('a');
		const b = createZonalLeadership('b', 'zone-b', 2);
		for (let now = 0; now <= 10_000; now += 20) {
			a.receiveHeartbeat(
				{...createLeadershipHeartbeat('b', 'zone-b', b), scope: 'zone'},
				now,
			);
			b.receiveHeartbeat(
				{...createLeadershipHeartbeat('a', 'zone-a', a), scope: 'zone'},
				now,
			);
			a.tick(now);
			b.tick(now);
		}

		expect([[...a.ledZones.keys()], [...b.ledZones.keys()]]).toEqual([
			['zone-a'],
			['zone-b'],
		]);
	});

	it('lets the warm candidate claim first, and of equals the strongest machine', () => {
		const leader = heartbeatFixture('l', {leads: {'zone-a': 5}});
		const stronger = heartbeatFixture('z', {processorShare: 2, isWarm: false});
		const claimsAfterLoss = (leadership: Leadership, untilMs: number) => {
			simulate(leadership, 0, 2000, [leader, stronger]);
			leadership.markDisconnected('l');
			return simulate(leadership, 2020, 2020 + untilMs, [stronger]);
		};

		const warm = createZonalLeadership('m');
		warm.setWarm();
		expect(claimsAfterLoss(warm, leaderCheckMs + 20)).toEqual(['zone-a']);
		const untilTurnMs = leaderCheckMs + candidateStaggerMs;
		expect(
			claimsAfterLoss(createZonalLeadership('m'), untilTurnMs - 20),
		).toEqual([]);
		expect(
			claimsAfterLoss(createZonalLeadership('m'), untilTurnMs + 20),
		).toEqual(['zone-a']);
	});

	it('ranks the leader of many zones no higher than others of the zone', () => {
		const leadership = createZonalLeadership('a');
		leadership.setWarm();
		const peers = [heartbeatFixture('b', {leads: {'zone-b': 5, 'zone-c': 5}})];
		expect(
			simulate(leadership, 0, startGraceMs + leaderCheckMs + 40, peers),
		).toEqual(['zone-a']);
	});

	it('hands a foreign zone back to the best candidate of the zone, and only after the merge delay', () => {
		const leadership = createZonalLeadership('a');
		const leaving = heartbeatFixture('b', {
			zone: 'zone-b',
			isStopping: true,
			yields: {'zone-b': 'a'},
		});
		simulate(leadership, 0, 1000, [leaving]);
		expect([...leadership.ledZones.keys()].toSorted()).toEqual(zones);
		const returned = [
			{name: 'c', isWarm: false, processorShare: 4},
			{name: 'd', processorShare: 1},
			{name: 'e', processorShare: 2},
			{name: 'f', processorShare: 3, isStopping: true},
		].map((change) =>
			heartbeatFixture(change.name, {
				zone: 'zone-b',
				scope: 'zone',
				...change,
			}),
		);
		simulate(leadership, 3000, 3000 + mergeDelayMs - 20, returned);
		expect(leadership.ledZones.size).toBe(2);
		simulate(
			leadership,
			3000 + mergeDelayMs,
			3000 + mergeDelayMs + 20,
			returned,
		);
		expect([...leadership.ledZones.keys()]).toEqual(['zone-a']);
		expect(leadership.successors.get('zone-b')).toBe('e');
	});

	it('moves a zone within it only to a stronger warm machine', () => {
		const leadsAfter = (peer: Heartbeat) => {
			const leadership = createZonalLeadership('m');
			simulate(leadership, 0, 1000);
			simulate(leadership, 1020, 1100 + mergeDelayMs, [peer]);
			return [...leadership.ledZones.keys()];
		};

		const inScope = {scope: 'zone'} as const;
		expect(leadsAfter(heartbeatFixture('a', inScope))).toEqual(['zone-a']);
		expect(
			leadsAfter(
				heartbeatFixture('a', {...inScope, processorShare: 2, isWarm: false}),
			),
		).toEqual(['zone-a']);
		expect(
			leadsAfter(heartbeatFixture('a', {...inScope, processorShare: 2})),
		).toEqual([]);
	});

	it('has the strongest machine warm up after its restart while a weaker one leads its zone', () => {
		const isWarmUpDue = (
			leaderShare: number,
			others: readonly Heartbeat[] = [],
		) => {
			const leadership = createZonalLeadership('m', 'zone-a', 2);
			const leader = heartbeatFixture('l', {
				processorShare: leaderShare,
				leads: {'zone-a': 5},
			});
			simulate(leadership, 0, 1000, [leader, ...others]);
			return leadership.isWarmUpDue(1000);
		};

		const cold = {processorShare: 2, isWarm: false};
		expect(isWarmUpDue(1)).toBe(true);
		expect(isWarmUpDue(2)).toBe(false);
		expect(isWarmUpDue(1, [heartbeatFixture('n', cold)])).toBe(true);
		expect(isWarmUpDue(1, [heartbeatFixture('a', cold)])).toBe(false);
		expect(
			isWarmUpDue(1, [heartbeatFixture('a', {...cold, isStopping: true})]),
		).toBe(true);
		expect(
			isWarmUpDue(1, [heartbeatFixture('a', {...cold, zone: 'zone-b'})]),
		).toBe(true);
		const alone = createZonalLeadership('m', 'zone-a', 2);
		simulate(alone, 0, 1000);
		expect(alone.isWarmUpDue(1000)).toBe(false);
	});

	it('splits the region when the scope changes, each zone to its own entry VM', () => {
		const leadership = createLeadership('a');
		leadership.setWarm();
		simulate(leadership, 0, 3000, [heartbeatFixture('b', {zone: 'zone-b'})]);
		expect(leadership.ledZones.size).toBe(2);
		leadership.setScope('zone');
		const peers = [heartbeatFixture('b', {zone: 'zone-b', scope: 'zone'})];
		simulate(leadership, 3020, 3040, peers);
		expect([...leadership.ledZones.keys()]).toEqual(['zone-a']);
		expect(leadership.successors.get('zone-b')).toBe('b');
	});

	// It would have led workers of two zones beside leaders of zones, which know nothing of its jobs.
	it('does not claim, as a leader of the region, a zone whose own entry VMs have leaders of zones', () => {
		const regional = createLeadership('a');
		regional.setWarm();
		const inScope = {zone: 'zone-b', scope: 'zone'} as const;
		const follower = heartbeatFixture('b2', inScope);
		simulate(regional, 0, 1000, [
			heartbeatFixture('b1', {...inScope, leads: {'zone-b': 9}}),
			follower,
		]);
		expect([...regional.ledZones.keys()]).toEqual(['zone-a']);
		simulate(regional, 1020, 4000, [follower]);
		expect([...regional.ledZones.keys()]).toEqual(['zone-a']);
	});

	it('does not claim, as a leader of the region, a zone whose leader only the entry VMs of that zone hear', () => {
		const regional = createLeadership('a');
		regional.setWarm();
		simulate(regional, 0, 4000, [
			heartbeatFixture('b2', {zone: 'zone-b', hears: {'zone-b': 9}}),
		]);
		expect([...regional.ledZones.keys()]).toEqual(['zone-a']);
	});

	// A process that has started anew leads on its own until it knows the list of workers, and hears its peers one by one.
	it('does not claim its zone after a restart while a peer under a leader of the region hears that leader', () => {
		const peer = heartbeatFixture('b', {
			zone: 'zone-b',
			scope: 'region',
			hears: {'zone-a': 5, 'zone-b': 5},
		});
		const restarted = createZonalLeadership('a');
		expect(simulate(restarted, 0, 3000, [peer])).toEqual([]);
		const zonal = createZonalLeadership('a');
		expect(simulate(zonal, 0, 3000, [{...peer, scope: 'zone'}])).toEqual([
			'zone-a',
		]);
	});

	it('hands no zone to an entry VM with the other scope, which would hand it back', () => {
		const zonal = createZonalLeadership('a');
		const lastBuild = heartbeatFixture('c', {zone: 'zone-b'});
		simulate(zonal, 0, 1000, [
			heartbeatFixture('b', {
				zone: 'zone-b',
				isStopping: true,
				yields: {'zone-b': 'a'},
			}),
		]);
		simulate(zonal, 3000, 6000, [lastBuild]);
		expect(zonal.ledZones.size).toBe(2);
		const regional = createLeadership('m');
		simulate(regional, 0, 1000);
		const strongerLeader = heartbeatFixture('a', {
			zone: 'zone-b',
			leads: {'zone-b': 5},
			processorShare: 2,
		});
		simulate(regional, 1020, 4000, [{...strongerLeader, scope: 'zone'}]);
		expect(regional.ledZones.size).toBe(1);
		simulate(regional, 4020, 7000, [strongerLeader]);
		expect(regional.ledZones.size).toBe(0);
	});

	it('hands its zone over on a planned stop to an entry VM of the zone, and to another one only if there is none', () => {
		const successorAmong = (peers: readonly Heartbeat[]) => {
			const leadership = createZonalLeadership('m');
			simulate(leadership, 0, 1000, peers);
			leadership.stop(1000);
			return leadership.successors.get('zone-a');
		};

		const foreign = heartbeatFixture('f', {zone: 'zone-b', processorShare: 9});
		expect(successorAmong([foreign, heartbeatFixture('n')])).toBe('n');
		expect(
			successorAmong([
				heartbeatFixture('e', {zone: 'zone-b', leads: {'zone-b': 1}}),
				heartbeatFixture('f', {zone: 'zone-b', processorShare: 0.5}),
			]),
		).toBe('f');
	});
});

describe('a zone whose leader stops', () => {
	const stopping = heartbeatFixture('a1', {
		isStopping: true,
		yields: {'zone-a': 'a2'},
	});
	const successor = heartbeatFixture('a2', {intervalMs: 2000});

	it('is claimed by no entry VM of another zone while one of its own is live, though that sends heartbeats rarely', () => {
		const leadership = createZonalLeadership('b1', 'zone-b');
		const leading = {...stopping, leads: {'zone-a': 5}, yields: {}};
		simulate(leadership, 0, 600, [leading, successor]);
		simulate(leadership, 620, 1000, [leading]);
		expect(simulate(leadership, 1020, 2500, [stopping])).toEqual([]);
	});

	it('is not claimed at once by an entry VM of another zone that has just heard of the zone, and only of the stopping one', () => {
		const leadership = createZonalLeadership('b1', 'zone-b');
		const alone = {...stopping, yields: {}};
		const {handOverMs} = defaultLeadershipSettings;
		simulate(leadership, 0, 1000, [heartbeatFixture('b2', {zone: 'zone-b'})]);
		expect(simulate(leadership, 1020, 1000 + handOverMs, [alone])).toEqual([]);
		expect(
			simulate(leadership, 1020 + handOverMs, 1520 + handOverMs, [alone]),
		).toContain('zone-a');
	});

	it('is handed over once a candidate is live, if none was when the stop began', () => {
		const leadership = createZonalLeadership('a1');
		simulate(leadership, 0, 1000);
		expect(leadership.stop(1000)).toEqual([]);
		const candidate = heartbeatFixture('a2');
		leadership.receiveHeartbeat(candidate, 1100);
		expect(leadership.tick(1100)).toEqual([
			{kind: 'dropped', zone: 'zone-a', reason: 'stopping'},
		]);
		expect(leadership.successors.get('zone-a')).toBe('a2');
	});

	it('is left to the successor that its leader has named, as long as that is live', () => {
		const leadership = createZonalLeadership('a3');
		const leading = {...stopping, leads: {'zone-a': 5}, yields: {}};
		simulate(leadership, 0, 600, [leading, successor]);
		simulate(leadership, 620, 1000, [leading]);
		const {handOverMs} = defaultLeadershipSettings;
		expect(simulate(leadership, 1020, 1000 + handOverMs, [stopping])).toEqual(
			[],
		);
		expect(
			simulate(leadership, 1020 + handOverMs, 2000 + handOverMs, [stopping]),
		).toEqual(['zone-a']);
	});
});

describe('candidates of a zone', () => {
	const lost = heartbeatFixture('a1', {leads: {'zone-a': 5}});

	it('are the only entry VMs that claim it, but for a successor that its leader has named', () => {
		const leadership = createZonalLeadership('a2');
		leadership.setCandidacy(false, []);
		simulate(leadership, 0, 1000, [lost]);
		expect(simulate(leadership, 1020, 4000)).toEqual([]);
		const yielding = heartbeatFixture('a1', {yields: {'zone-a': 'a2'}});
		expect(simulate(leadership, 4020, 4020, [yielding])).toEqual(['zone-a']);
	});

	describe('that start together', () => {
		/** Returns when a candidate claims the zone after its start, by the heartbeats that it has received. */
		const claimMs = (name: string, peers: readonly Heartbeat[]) => {
			const leadership = createZonalLeadership(name);
			leadership.setCandidacy(
				true,
				['a1', 'a2', 'a3']
					.filter((other) => other !== name)
					.map((other) => ({name: other, zone: 'zone-a', processorShare: 1})),
			);
			let now = 0;
			while (simulate(leadership, now, now, peers).length === 0) {
				now += 20;
			}

			return now;
		};

		const ofOtherZone = heartbeatFixture('b1', {zone: 'zone-b'});

		it('do not claim it at the same time', () => {
			const follower = heartbeatFixture('a9', {isCandidate: false});
			const times = ['a1', 'a2', 'a3'].map((name) =>
				claimMs(name, [ofOtherZone, follower]),
			);
			expect(times).toEqual(
				[0, 1, 2].map(
					(position) => startGraceMs + position * candidateStaggerMs,
				),
			);
		});

		it('do not claim it after the short grace if they have heard other zones only: it may have a leader', () => {
			expect(claimMs('a1', [ofOtherZone])).toBe(noPeersGraceMs);
		});
	});

	it('wait for a better one that they have not heard yet', () => {
		const claimTime = (unheardName: string) => {
			const leadership = createZonalLeadership('a2');
			leadership.setCandidacy(true, [
				{name: unheardName, zone: 'zone-a', processorShare: 1},
			]);
			const peers = [heartbeatFixture('b1', {zone: 'zone-b'})];
			simulate(leadership, 0, 1000, [lost, ...peers]);
			let now = 1020;
			while (simulate(leadership, now, now, peers).length === 0) {
				now += 20;
			}

			return now;
		};

		expect(claimTime('a0') - claimTime('a3')).toBe(candidateStaggerMs);
	});

	it('report leaders to entry VMs that are not connected to them, and the newest leader counts', () => {
		const leadership = createZonalLeadership('a2');
		const report = (name: string, token: number) => ({
			zone: 'zone-b',
			name,
			address: `${name}:1`,
			token,
		});
		leadership.receiveHeartbeat(
			heartbeatFixture('a1', {leaders: [report('b1', 7)]}),
			1000,
		);
		leadership.receiveHeartbeat(
			heartbeatFixture('a3', {leaders: [report('b2', 8)]}),
			1000,
		);
		expect(leadership.findLeader('zone-b', 1000)).toBe(undefined);
		expect(leadership.findReportedLeader('zone-b', 1000)?.name).toBe('b2');
		expect(leadership.findReportedLeader('zone-b', 2000)).toBe(undefined);
	});
});

describe('Leadership of a process that read no messages for a time', () => {
	const leader = heartbeatFixture('entry-2', {
		processorShare: 2,
		leads: {'zone-a': 1000, 'zone-b': 1000},
		highestToken: 1000,
	});
	const follower = heartbeatFixture('entry-3', {zone: 'zone-b'});

	/** Creates a follower that has received heartbeats until a time. */
	function followUntil(now: number): Leadership {
		const leadership = createLeadership('entry-1');
		expect(simulate(leadership, 0, now, [leader, follower])).toEqual([]);
		return leadership;
	}

	it('does not count that time as silence of its peers', () => {
		const leadership = followUntil(5000);
		leadership.excludeStall(700, 5700);
		expect(leadership.isPeerLive('entry-2', 5700)).toBe(true);
		expect(simulate(leadership, 5700, 6080)).toEqual([]);
		expect(leadership.findLeader('zone-a', 6080)?.name).toBe('entry-2');
		expect(leadership.findLeader('zone-a', 6101)).toBe(undefined);
	});

	it('notices the loss of a leader although it is late all the time', () => {
		const leadership = followUntil(5000);
		for (let now = 5300; now <= 6400; now += 300) {
			leadership.excludeStall(300, now);
			leadership.tick(now);
		}

		expect(leadership.findLeader('zone-a', 6400)?.name).toBe('entry-2');
		for (let now = 6500; now <= 7400; now += 300) {
			leadership.excludeStall(300, now);
			leadership.tick(now);
		}

		expect(leadership.findLeader('zone-a', 7400)).toBe(undefined);
	});

	it('does not take a peer for live that was lost before', () => {
		const leadership = followUntil(5000);
		leadership.markDisconnected('entry-3');
		simulate(leadership, 5020, 5500);
		leadership.excludeStall(700, 6200);
		expect(leadership.livePeers(6200)).toEqual([]);
	});

	it('takes messages of that time for out of date until the next heartbeat', () => {
		const leadership = followUntil(5000);
		leadership.excludeStall(700, 5700);
		expect(leadership.hasRecentHeartbeat('entry-3', 5700)).toBe(false);
		leadership.receiveHeartbeat(follower, 5700);
		expect(leadership.hasRecentHeartbeat('entry-3', 5700)).toBe(true);
	});

	it('drops a zone whose token is refused, and claims nothing until a heartbeat arrives', () => {
		const leadership = createLeadership('entry-1');
		leadership.setWarm();
		const followers = [follower, heartbeatFixture('entry-4')];
		expect(simulate(leadership, 0, 5000, followers)).toEqual(zones);
		leadership.excludeStall(700, 5700);
		expect(
			leadership.handleTokenRefusal(
				'zone-a',
				leadership.ledZones.get('zone-a')!,
				false,
				5700,
			),
		).toEqual([{kind: 'dropped', zone: 'zone-a', reason: 'isolated'}]);
		expect(simulate(leadership, 5700, 5900)).toEqual([]);
	});
});

describe('leaders of zones that lose each other', () => {
	type Node = {
		readonly name: string;
		readonly zone: string;
		readonly leadership: Leadership;
		isRunning: boolean;
	};

	function createNodes(): readonly Node[] {
		return zones.flatMap((zone) =>
			['1', '2', '3'].map((number) => {
				const name = `${zone}-${number}`;
				return {
					name,
					zone,
					leadership: createZonalLeadership(name, zone, Number(number)),
					isRunning: true,
				};
			}),
		);
	}

	/** Lets nodes exchange heartbeats every 100 ms where `canReach` allows; returns the claims, as name and zone. */
	function run(
		nodes: readonly Node[],
		fromMs: number,
		toMs: number,
		canReach: (from: Node, to: Node) => boolean = () => true,
	): readonly string[] {
		const claims: string[] = [];
		for (let now = fromMs; now <= toMs; now += 20) {
			const running = nodes.filter(({isRunning}) => isRunning);
			for (const from of now % 100 === 0 ? running : []) {
				const heartbeat = {
					...createLeadershipHeartbeat(from.name, from.zone, from.leadership),
					scope: 'zone' as const,
					processorShare: Number(from.name.at(-1)),
					hears: Object.fromEntries(
						zones.flatMap((zone) => {
							const leader = from.leadership.findLeader(zone, now);
							return leader === undefined ? [] : [[zone, leader.token]];
						}),
					),
				};
				for (const to of running) {
					if (to !== from && canReach(from, to)) {
						to.leadership.receiveHeartbeat(heartbeat, now);
					}
				}
			}

			for (const {name, leadership} of running) {
				claims.push(
					...leadership
						.tick(now)
						.flatMap(({kind, zone}) =>
							kind === 'claimed' ? [`${name} ${zone}`] : [],
						),
				);
			}
		}

		return claims;
	}

	/** Returns the zones of the running nodes that lead, with the zones that they lead. */
	function listLeaders(
		nodes: readonly Node[],
	): ReadonlyArray<readonly [string, readonly string[]]> {
		return nodes
			.filter(
				({isRunning, leadership}) => isRunning && leadership.ledZones.size > 0,
			)
			.map(({zone, leadership}) => [zone, [...leadership.ledZones.keys()]]);
	}

	const ownLeaders = zones.map((zone) => [zone, [zone]]);

	it('agrees on one leader in each zone, and after its loss on another one of the zone', () => {
		const nodes = createNodes();
		run(nodes, 0, 6000);
		expect(listLeaders(nodes)).toEqual(ownLeaders);
		for (let now = 6020; now < 20_000; now += 4000) {
			const leader = nodes.find(
				({isRunning, leadership}) => isRunning && leadership.ledZones.size > 0,
			)!;
			leader.isRunning = false;
			const claims = run(nodes, now, now + 3980);
			expect(claims.every((claim) => claim.endsWith(leader.zone))).toBe(true);
			const isZoneAlive = nodes.some(
				({isRunning, zone}) => isRunning && zone === leader.zone,
			);
			expect(
				listLeaders(nodes).filter(([zone]) => zone === leader.zone),
			).toEqual(isZoneAlive ? [[leader.zone, [leader.zone]]] : []);
		}
	});

	it('changes no leader when the zones are partitioned and when the partition heals', () => {
		const nodes = createNodes();
		run(nodes, 0, 8000);
		const isSameZone = (from: Node, to: Node) => from.zone === to.zone;
		expect(run(nodes, 8020, 14_000, isSameZone)).toEqual([]);
		expect(run(nodes, 14_020, 20_000)).toEqual([]);
		expect(listLeaders(nodes)).toEqual(ownLeaders);
	});

	it('agrees on leaders again after a start of all', () => {
		const nodes = createNodes();
		run(nodes, 0, 4000);
		const anew = createNodes();
		expect(
			run(anew, 4020, 10_000).every((claim) =>
				zones.some((zone) => claim.startsWith(zone) && claim.endsWith(zone)),
			),
		).toBe(true);
		expect(listLeaders(anew)).toEqual(ownLeaders);
	});
});
