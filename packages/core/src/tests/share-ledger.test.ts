import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShareSplit} from '../index.js';
import {ShareNetwork, resourceName} from './share-network.js';

const initialNames = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];

type Step = readonly [
	action: keyof typeof actions,
	first: number,
	second: number,
];

/** The random steps; `first` and `second` select entry VMs, messages or units by index modulo their number. */
const actions = {
	tick(network: ShareNetwork, first: number) {
		network.nowMs += 50;
		network.tick(pick(network.names, first));
	},
	tickAll(network: ShareNetwork) {
		network.nowMs += 50;
		for (const name of network.names) {
			network.tick(name);
		}
	},
	deliver(network: ShareNetwork, first: number) {
		network.deliver(first % Math.max(1, network.inFlight.length));
	},
	deliverAll(network: ShareNetwork) {
		network.deliverAll();
	},
	deliverDuplicate(network: ShareNetwork, first: number) {
		network.deliver(first % Math.max(1, network.inFlight.length), true);
	},
	dropMessage(network: ShareNetwork, first: number) {
		network.dropMessage(first % Math.max(1, network.inFlight.length));
	},
	connect(network: ShareNetwork, first: number, second: number) {
		network.connect(pick(network.names, first), pick(network.names, second));
	},
	connectAll(network: ShareNetwork) {
		for (const from of network.names) {
			for (const to of network.names) {
				network.connect(from, to);
			}
		}
	},
	redeliverStaleHello(network: ShareNetwork, first: number, second: number) {
		network.redeliverStaleHello(pick(network.names, first), second);
	},
	cut(network: ShareNetwork, first: number, second: number) {
		network.cut(pick(network.names, first), pick(network.names, second));
	},
	heal(network: ShareNetwork) {
		network.heal();
	},
	readList(network: ShareNetwork, first: number) {
		network.readList(pick(network.names, first));
	},
	readListAll(network: ShareNetwork) {
		for (const name of network.names) {
			network.readList(name);
		}
	},
	restart(network: ShareNetwork, first: number) {
		network.start(pick(network.names, first));
	},
	crashAndUnlist(network: ShareNetwork, first: number) {
		if (network.listed.length > 2) {
			network.crashAndUnlist(pick(network.listed, first));
		}
	},
	join(network: ShareNetwork, first: number) {
		const name = `entry-${first % 6}`;
		if (network.findNode(name) === undefined) {
			network.join(name);
		}
	},
	/** Starts an entry VM that the platform's list never contains. */
	startUnlisted(network: ShareNetwork, first: number) {
		const name = `entry-${6 + (first % 2)}`;
		if (network.findNode(name) === undefined) {
			network.start(name);
		}
	},
	take(network: ShareNetwork, first: number, second: number) {
		const ledger = network.findNode(pick(network.names, first))?.ledger;
		ledger?.tryTake(resourceName, second % 6, network.nowMs);
	},
	giveBack(network: ShareNetwork, first: number, second: number) {
		const ledger = network.findNode(pick(network.names, first))?.ledger;
		ledger?.giveBack(resourceName, second % 6, network.nowMs);
	},
	setDemand(network: ShareNetwork, first: number, second: number) {
		const ledger = network.findNode(pick(network.names, first))?.ledger;
		ledger?.wants(resourceName, second % 20);
	},
};

/** Steps that change the capacity, for the test of edits only. */
const editActions = {
	edit(network: ShareNetwork, first: number) {
		network.editCapacity(1 + (first % 30));
	},
	readCapacity(network: ShareNetwork, first: number) {
		network.readCapacity(pick(network.names, first));
	},
};

/** Relative frequency of the steps; 1 for those that are not listed. */
const weights: Readonly<Partial<Record<keyof typeof actions, number>>> = {
	tick: 4,
	tickAll: 4,
	deliver: 8,
	deliverAll: 3,
	dropMessage: 2,
	connectAll: 2,
	readList: 4,
	take: 5,
	giveBack: 3,
	setDemand: 4,
	restart: 2,
	join: 2,
};

const stepArbitrary = fc.tuple(
	fc.oneof(
		...(Object.keys(actions) as Array<keyof typeof actions>).map((action) => ({
			arbitrary: fc.constant(action),
			weight: weights[action] ?? 1,
		})),
	),
	fc.nat(1000),
	fc.nat(1000),
);

describe('share split', () => {
	it('sums to the capacity and shrinks no share when the capacity grows', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 60}),
				fc.nat(5000),
				fc.string(),
				(count, units, name) => {
					const members = Array.from({length: count}, (_, index) => ({
						name: `entry-${index}`,
						zone: 'zone-a',
						isLeaving: false,
					}));
					const split = new ShareSplit({version: 1, members});
					const shares = (capacity: number) =>
						members.map((member) =>
							split.computeBaseShare(member.name, name, {units: capacity}),
						);
					expect(sum(shares(units))).toBe(units);
					const larger = shares(units + 1);
					expect(
						shares(units).every((share, index) => share <= larger[index]!),
					).toBe(true);
				},
			),
			{seed: 5, numRuns: 300},
		);
	});
});

describe('share ledger', () => {
	// Lost, duplicated and reordered messages, crashes, partitions and stale lists must neither let two entry VMs use the
	// same unit nor leave a unit unusable after the faults have ended.
	it('never exceeds the capacity and makes all units usable again after faults', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 40}),
				fc.boolean(),
				fc.array(stepArbitrary, {minLength: 20, maxLength: 200, size: 'max'}),
				(capacity, isZoneOnly, steps) => {
					const network = new ShareNetwork(
						initialNames,
						capacity,
						isZoneOnly ? 'zone-a' : undefined,
					);
					network.recover(4);
					playSteps(network, steps);
					expectAllUsable(network);
				},
			),
			{seed: 11, numRuns: 600},
		);
	});

	// Entry VMs receive an edit of the capacity at different times, so their shares mix the old and the new capacity.
	it('never exceeds the largest recent capacity while an edit propagates, nor the new one afterwards', () => {
		const stepOrEdit = fc.oneof(
			{weight: 4, arbitrary: stepArbitrary},
			{
				weight: 1,
				arbitrary: fc.tuple(
					fc.constantFrom('edit' as const, 'readCapacity' as const),
					fc.nat(1000),
					fc.nat(1000),
				),
			},
		);
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 30}),
				fc.array(stepOrEdit, {minLength: 20, maxLength: 150, size: 'max'}),
				(capacity, steps) => {
					const network = new ShareNetwork(initialNames, capacity);
					network.recover(4);
					for (const [action, first, second] of steps) {
						const act = {...actions, ...editActions}[action];
						act(network, first, second);
						expect(network.totalUnits).toBeLessThanOrEqual(network.maxCapacity);
					}

					expectAllUsable(network);
				},
			),
			{seed: 12, numRuns: 300},
		);
	});
});

// The platform's list loses the row of a running entry VM, so its peers treat its incarnation as ended.
describe('share ledger of a running entry VM that the platform removes from its list', () => {
	it.each([
		['reads the list in the meantime', true],
		['does not read the list in the meantime', false],
	])(
		'has its share again once it is back on the list if it %s',
		(_, readsMeanwhile) => {
			const network = new ShareNetwork(initialNames, 8);
			network.recover();
			network.removeFromList('entry-0');
			for (const name of initialNames) {
				if (name !== 'entry-0' || readsMeanwhile) {
					network.readList(name);
				}
			}

			network.run(5);
			network.addToList('entry-0');
			expectAllUsable(network);
		},
	);

	it.each([
		['reads the list first', ['entry-0', 'entry-1', 'entry-2']],
		['reads the list last', ['entry-2', 'entry-1', 'entry-0']],
	])('can borrow while unlisted if it %s', (_, readers) => {
		const network = new ShareNetwork(initialNames, 8);
		network.recover();
		network.removeFromList('entry-0');
		for (const name of [...readers, ...initialNames]) {
			network.readList(name);
			network.run(2);
		}

		const {ledger} = network.findNode('entry-0')!;
		ledger.wants(resourceName, network.capacity);
		network.run(200, () => {
			expect(network.totalUnits).toBeLessThanOrEqual(network.capacity);
		});
		expect(ledger.held(resourceName)).toBe(network.capacity);
	});
});

function playSteps(network: ShareNetwork, steps: readonly Step[]): void {
	for (const [action, first, second] of steps) {
		actions[action](network, first, second);
		expect(network.totalUnits).toBeLessThanOrEqual(network.capacity);
	}
}

/** Ends all faults, then moves all demand to one entry VM after another and expects each to hold the whole capacity. */
function expectAllUsable(network: ShareNetwork): void {
	for (const name of network.names) {
		const {ledger} = network.findNode(name)!;
		ledger.giveBack(resourceName, ledger.inUse(resourceName), network.nowMs);
		ledger.wants(resourceName, 0);
	}

	network.recover();
	for (const name of network.names) {
		const {ledger} = network.findNode(name)!;
		ledger.wants(resourceName, network.capacity);
		network.run(200);
		expect(network.totalUnits).toBeLessThanOrEqual(network.capacity);
		expect([name, ledger.held(resourceName)]).toEqual([name, network.capacity]);
		ledger.wants(resourceName, 0);
	}
}

function pick(choices: readonly string[], index: number): string {
	return choices[index % choices.length]!;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
