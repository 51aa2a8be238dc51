import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShareSplit} from '../index.js';
import {ShareNetwork, resource} from './share-network.js';

const names = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];

type Step = readonly [
	action: keyof typeof actions,
	first: number,
	second: number,
];

/** What may happen to the ledgers; `first` and `second` choose among what there is. */
const actions = {
	tick(network: ShareNetwork, first: number) {
		network.now += 50;
		network.tick(pick(network.names, first));
	},
	tickAll(network: ShareNetwork) {
		network.now += 50;
		for (const name of network.names) {
			network.tick(name);
		}
	},
	deliver(network: ShareNetwork, first: number) {
		network.deliver(first % Math.max(1, network.envelopes.length));
	},
	deliverAll(network: ShareNetwork) {
		network.deliverAll();
	},
	repeat(network: ShareNetwork, first: number) {
		network.deliver(first % Math.max(1, network.envelopes.length), true);
	},
	lose(network: ShareNetwork, first: number) {
		network.lose(first % Math.max(1, network.envelopes.length));
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
	repeatHello(network: ShareNetwork, first: number, second: number) {
		network.repeatHello(pick(network.names, first), second);
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
	replace(network: ShareNetwork, first: number) {
		network.start(pick(network.names, first));
	},
	unlist(network: ShareNetwork, first: number) {
		if (network.listed.length > 2) {
			network.unlist(pick(network.listed, first));
		}
	},
	join(network: ShareNetwork, first: number) {
		const name = `entry-${first % 6}`;
		if (network.node(name) === undefined) {
			network.join(name);
		}
	},
	/** A process that the platform's list never names. */
	guest(network: ShareNetwork, first: number) {
		const name = `entry-${6 + (first % 2)}`;
		if (network.node(name) === undefined) {
			network.start(name);
		}
	},
	take(network: ShareNetwork, first: number, second: number) {
		const ledger = network.node(pick(network.names, first))?.ledger;
		ledger?.tryTake(resource, second % 6, network.now);
	},
	giveBack(network: ShareNetwork, first: number, second: number) {
		const ledger = network.node(pick(network.names, first))?.ledger;
		ledger?.giveBack(resource, second % 6, network.now);
	},
	want(network: ShareNetwork, first: number, second: number) {
		const ledger = network.node(pick(network.names, first))?.ledger;
		ledger?.wants(resource, second % 20);
	},
};

const edits = {
	edit(network: ShareNetwork, first: number) {
		network.editCapacity(1 + (first % 30));
	},
	readCapacity(network: ShareNetwork, first: number) {
		network.readCapacity(pick(network.names, first));
	},
};

const weights: Readonly<Partial<Record<keyof typeof actions, number>>> = {
	tick: 4,
	tickAll: 4,
	deliver: 8,
	deliverAll: 3,
	lose: 2,
	connectAll: 2,
	readList: 4,
	take: 5,
	giveBack: 3,
	want: 4,
	replace: 2,
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
	it('sums to the capacity, and no share shrinks when the capacity grows', () => {
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
							split.baseOf(member.name, name, {units: capacity}),
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
	it('never exceeds the capacity, and loses no unit for ever', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 40}),
				fc.boolean(),
				fc.array(stepArbitrary, {minLength: 20, maxLength: 200, size: 'max'}),
				(capacity, isZoneOnly, steps) => {
					const network = new ShareNetwork(
						names,
						capacity,
						isZoneOnly ? 'zone-a' : undefined,
					);
					network.settle(4);
					play(network, steps);
					expectAllUsable(network);
				},
			),
			{seed: 11, numRuns: 600},
		);
	});

	it('keeps within the larger capacity while an edit is on its way, and within the new one afterwards', () => {
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
					const network = new ShareNetwork(names, capacity);
					network.settle(4);
					for (const [action, first, second] of steps) {
						const act = {...actions, ...edits}[action];
						act(network, first, second);
						expect(network.total).toBeLessThanOrEqual(network.largestCapacity);
					}

					expectAllUsable(network);
				},
			),
			{seed: 12, numRuns: 300},
		);
	});
});

describe('a row that the platform loses by mistake', () => {
	it.each([
		['an entry VM that reads the list meanwhile', true],
		['an entry VM that does not read it', false],
	])('costs %s its share until the row is back', (_, readsMeanwhile) => {
		const network = new ShareNetwork(names, 8);
		network.settle();
		network.loseRow('entry-0');
		for (const name of names) {
			if (name !== 'entry-0' || readsMeanwhile) {
				network.readList(name);
			}
		}

		network.run(5);
		network.list('entry-0');
		expectAllUsable(network);
	});

	it.each([
		['reads the list first', ['entry-0', 'entry-1', 'entry-2']],
		['reads the list last', ['entry-2', 'entry-1', 'entry-0']],
	])('lets an entry VM borrow that %s', (_, readers) => {
		const network = new ShareNetwork(names, 8);
		network.settle();
		network.loseRow('entry-0');
		for (const name of [...readers, ...names]) {
			network.readList(name);
			network.run(2);
		}

		const {ledger} = network.node('entry-0')!;
		ledger.wants(resource, network.capacity);
		network.run(200, () => {
			expect(network.total).toBeLessThanOrEqual(network.capacity);
		});
		expect(ledger.held(resource)).toBe(network.capacity);
	});
});

function play(network: ShareNetwork, steps: readonly Step[]): void {
	for (const [action, first, second] of steps) {
		actions[action](network, first, second);
		expect(network.total).toBeLessThanOrEqual(network.capacity);
	}
}

/** All demand goes to one entry VM after another; each must get the whole capacity. */
function expectAllUsable(network: ShareNetwork): void {
	for (const name of network.names) {
		const {ledger} = network.node(name)!;
		ledger.giveBack(resource, ledger.inUse(resource), network.now);
		ledger.wants(resource, 0);
	}

	network.settle();
	for (const name of network.names) {
		const {ledger} = network.node(name)!;
		ledger.wants(resource, network.capacity);
		network.run(200);
		expect(network.total).toBeLessThanOrEqual(network.capacity);
		expect([name, ledger.held(resource)]).toEqual([name, network.capacity]);
		ledger.wants(resource, 0);
	}
}

function pick(choices: readonly string[], index: number): string {
	return choices[index % choices.length]!;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
