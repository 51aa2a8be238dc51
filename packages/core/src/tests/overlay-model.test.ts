import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {seededRandom} from '../seeded-random.js';
import {OverlayModel} from './overlay-model.js';

const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d', 'zone-e'];

// The tests compute for seconds; the test runner needs a turn of the event loop between them.
afterEach(async () => {
	await nextTurn();
});

function createModel(
	entryVmsPerZone: number,
	hasRegistry = true,
): OverlayModel {
	const model = new OverlayModel({
		zones,
		entryVmsPerZone,
		strongPerZone: 3,
		hasRegistry,
	});
	model.startAll();
	return model;
}

/** Creates a model whose entry VMs have agreed on candidates and leaders. */
function createSettledModel(entryVmsPerZone: number): OverlayModel {
	const model = createModel(entryVmsPerZone);
	model.run(4500);
	expect(model.findUnled()).toEqual([]);
	return model;
}

const leaderLossMs = 500;

describe('an overlay of many entry VMs', () => {
	it('has one leader for each zone soon after a start of all', () => {
		const model = createModel(20);
		expect(model.runUntilLed(4000)).toBeLessThan(2500);
		model.run(4000);
		expect(zones.map((zone) => model.findLeaders(zone).length)).toEqual(
			zones.map(() => 1),
		);
		expect(zones.map((zone) => model.findCandidates(zone))).toEqual(
			zones.map((zone) => ['017', '018', '019'].map((n) => `${zone}-${n}`)),
		);
	});

	it('finds leaders through the seeds while the store is away', () => {
		const model = createModel(20, false);
		expect(model.runUntilLed(8000)).toBeLessThan(4000);
	});

	it('costs a follower the same at any size, and a candidate as much as its zone has followers', () => {
		const rates = [8, 20, 60].map((entryVmsPerZone) => {
			const model = createSettledModel(entryVmsPerZone);
			const sinceMs = Math.ceil(model.now / 1000) * 1000;
			model.run(2000);
			const connections = [...model.entryVms.values()]
				.filter(({overlay}) => !overlay.isCandidate)
				.map(({overlay}) => overlay.addresses.length);
			return {
				...model.largestMessageRates(sinceMs),
				connections: Math.max(...connections),
				perZone: entryVmsPerZone,
			};
		});
		for (const {follower, candidate, connections, perZone} of rates) {
			expect(connections).toBeLessThanOrEqual(4);
			expect(follower).toBeLessThanOrEqual(30);
			// Ten heartbeats each way to each follower and other leader, and less to the other candidates.
			expect(candidate).toBeLessThanOrEqual(
				20 * (perZone + zones.length) + 3 * 5 * zones.length,
			);
		}
	});

	it('replaces a leader that is killed, and one that is silent', () => {
		const model = createSettledModel(20);
		for (const zone of zones) {
			const sinceMs = Math.ceil(model.now / 1000) * 1000;
			model.kill(model.findLeaders(zone)[0]!);
			expect(model.runUntilLed(2000)).toBeLessThanOrEqual(leaderLossMs);
			model.run(1500);
			const {follower, candidate} = model.largestMessageRates(sinceMs);
			expect(follower).toBeLessThanOrEqual(60);
			expect(candidate).toBeLessThanOrEqual(700);
		}

		for (const zone of zones) {
			model.kill(model.findLeaders(zone)[0]!, false);
			expect(model.runUntilLed(2000)).toBeLessThanOrEqual(400 + leaderLossMs);
			model.run(1000);
		}
	});

	it.each([true, false])(
		'replaces all candidates of a zone that are lost in the same moment (with power: %s)',
		(hasPower) => {
			const model = createSettledModel(20);
			for (const name of model.findCandidates('zone-c')) {
				model.kill(name, hasPower);
			}

			expect(model.runUntilLed(4000)).toBeLessThanOrEqual(2000);
			model.run(2000);
			expect(model.findLeaders('zone-c')).toHaveLength(1);
			expect(model.findUnled()).toEqual([]);
		},
	);

	it('keeps its leaders when a zone is cut off and when the cut heals', () => {
		const model = createSettledModel(20);
		const before = zones.map((zone) => model.findLeaders(zone));
		model.cutZones.add('zone-b');
		model.run(6000);
		expect(zones.map((zone) => model.findLeaders(zone))).toEqual(before);
		model.cutZones.clear();
		model.run(5000);
		expect(zones.map((zone) => model.findLeaders(zone))).toEqual(before);
		expect(model.findUnled()).toEqual([]);
		const [candidate] = model.findCandidates('zone-b');
		const {links} = model.entryVms.get(`${candidate!}:1`)!;
		expect(
			['zone-a', 'zone-c'].map(
				(zone) =>
					[...links].filter(
						([address, {state}]) =>
							address.startsWith(zone) && state === 'open',
					).length,
			),
		).toEqual([3, 3]);
	});

	it('agrees on leaders again after a restart of all', () => {
		const model = createSettledModel(20);
		for (const {name} of model.members) {
			model.kill(name, false);
		}

		model.startAll();
		expect(model.runUntilLed(4000)).toBeLessThan(2500);
	});

	it.each([1, 2, 3])(
		'has one leader for each zone once faults have ceased (seed %i)',
		(seed) => {
			const random = seededRandom(seed);
			const model = createSettledModel(12);
			const pick = () =>
				model.members[Math.floor(random() * model.members.length)]!;
			for (let round = 0; round < 25; round += 1) {
				const {name, address, zone} = pick();
				const kind = random();
				const running = model.entryVms.get(address);
				if (running === undefined) {
					model.start(name);
				} else if (kind < 0.5) {
					model.kill(name, random() < 0.5);
				} else if (kind < 0.8) {
					running.frozenUntilMs = model.now + random() * 2500;
				} else if (model.cutZones.size > 0) {
					model.cutZones.clear();
				} else {
					model.cutZones.add(zone);
				}

				model.run(random() * 800);
			}

			model.cutZones.clear();
			for (const {name, address} of model.members) {
				if (!model.entryVms.has(address)) {
					model.start(name);
				}
			}

			model.run(12_000);
			expect(model.findUnled()).toEqual([]);
			expect(zones.map((zone) => model.findLeaders(zone).length)).toEqual(
				zones.map(() => 1),
			);
		},
	);
});
