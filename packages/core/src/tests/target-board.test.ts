import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type EntryVm, type Target} from '../machine.js';
import {placementPolicy, placementPolicyNames} from '../placement.js';
import {seededRandom} from '../seeded-random.js';
import {FixedSlotShares, UncoordinatedSlots} from '../slot-share.js';
import {TargetBoard, type KnownTarget} from '../target-board.js';
import {targetFixture} from './placement-fixtures.js';

const needs = {processors: 1, memoryMb: 256, accelerators: 0};
const runs = {seed: 1, numRuns: 100};

function boardOf(...targets: readonly Target[]): TargetBoard {
	const board = new TargetBoard('zone-a', new UncoordinatedSlots());
	board.update(targets);
	return board;
}

function namesOf(known: readonly KnownTarget[]): readonly string[] {
	return known.map(({target}) => target.name);
}

function fail(known: KnownTarget, times: number, now: number): void {
	for (let index = 0; index < times; index += 1) {
		known.health.failed(`job-${index}`, now);
	}
}

function entryVm(name: string, zone: string): EntryVm {
	return {role: 'entry', name, zone, state: 'live', peerAddress: `${name}:1`};
}

describe('the board of targets', () => {
	it('prefers the own zone, and takes another one when its own has no free slot', () => {
		const near = targetFixture('near', {slots: 1});
		const board = boardOf(near, targetFixture('far', {zone: 'zone-b'}));
		const {candidates} = board.choice(needs, 0);
		expect(namesOf(candidates)).toEqual(['near']);
		board.sent(candidates[0]!, needs, 0);
		const next = board.choice(needs, 0);
		expect(namesOf(next.candidates)).toEqual(['far']);
		expect(next.passedOver.busy).toBe(1);
	});

	it('keeps the needs in flight within what a target has', () => {
		const large = {processors: 40, memoryMb: 1000, accelerators: 0};
		const board = boardOf(targetFixture('one'));
		const [known] = board.choice(large, 0).candidates;
		board.sent(known!, large, 0);
		expect(board.choice(large, 0).passedOver.needs).toBe(1);
		expect(namesOf(board.choice(needs, 0).candidates)).toEqual(['one']);
		board.ended(known!, large, 0);
		expect(namesOf(board.choice(large, 0).candidates)).toEqual(['one']);
		expect(board.canEverHold({...large, accelerators: 1})).toBe(false);
	});

	it('gives nothing to a target that said it leaves, while the list calls it live', () => {
		const targets = [targetFixture('goes'), targetFixture('stays')];
		const board = boardOf(...targets);
		board.listed[0]!.saidLeavingAtMs = 0;
		board.update(targets);
		expect(namesOf(board.choice(needs, 1000).candidates)).toEqual(['stays']);
		board.update([
			targetFixture('goes', {address: 'http://another:80'}),
			targets[1]!,
		]);
		expect(board.choice(needs, 1000).candidates).toHaveLength(2);
	});

	it('sets a failing target aside and tries it later with one task', () => {
		const board = boardOf(targetFixture('fails'), targetFixture('works'));
		const [failing] = board.listed;
		fail(failing!, 3, 0);
		expect(namesOf(board.choice(needs, 500).candidates)).toEqual(['works']);
		expect(board.choice(needs, 1000).candidates).toHaveLength(2);
		board.sent(failing!, needs, 1000);
		expect(namesOf(board.choice(needs, 1000).candidates)).toEqual(['works']);
		board.ended(failing!, needs, 1000);
		failing!.health.failed('trial', 1000);
		expect(failing!.health.state(2500)).toBe('aside');
		failing!.health.completed(100, 100);
		expect(failing!.health.state(2500)).toBe('taken');
	});

	it('goes on with targets that fail when most of them do', () => {
		const board = boardOf(targetFixture('one'), targetFixture('two'));
		for (const known of board.listed) {
			fail(known, 3, 0);
		}

		expect(board.choice(needs, 500).candidates).toHaveLength(2);
	});

	it('counts failures of one job in a row once, and puts slow targets last', () => {
		const board = boardOf(targetFixture('slow'), targetFixture('quick'));
		const [known] = board.listed;
		for (let index = 0; index < 20; index += 1) {
			known!.health.failed('same', 0);
		}

		expect(known!.health.state(0)).toBe('taken');
		for (let index = 0; index < 60; index += 1) {
			known!.health.completed(1000, 100);
		}

		expect(namesOf(board.choice(needs, 0).candidates)).toEqual(['quick']);
	});

	it.each(placementPolicyNames)(
		'never fills more than the slots with %s',
		(name) => {
			fc.assert(
				fc.property(
					fc.integer(),
					fc.array(fc.boolean(), {maxLength: 100}),
					(seed, isStart) => {
						const board = boardOf(
							targetFixture('one', {slots: 3}),
							targetFixture('two', {slots: 5}),
						);
						const random = seededRandom(seed);
						const policy = placementPolicy(name);
						const inFlight: KnownTarget[] = [];
						for (const starts of isStart) {
							const chosen = starts
								? policy.choose(board.choice(needs, 0).candidates, random)
								: undefined;
							if (chosen === undefined) {
								const ended = inFlight.shift();
								if (ended !== undefined) {
									board.ended(ended, needs, 0);
								}
							} else {
								expect(board.sent(chosen, needs, 0)).toBe(true);
								inFlight.push(chosen);
							}

							expect(
								board.listed.every(
									(known) => known.inFlight <= known.target.slots,
								),
							).toBe(true);
						}
					},
				),
				runs,
			);
		},
	);
});

describe('fixed shares of slots', () => {
	it('sum to the slots of each target over the entry VMs of its zone', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 5}),
				fc.integer({min: 1, max: 20}),
				fc.string(),
				(count, slots, name) => {
					const entryVms = [
						...Array.from({length: count}, (_, index) =>
							entryVm(`entry-${index}`, 'zone-a'),
						),
						entryVm('elsewhere', 'zone-b'),
					];
					const shares = entryVms.map((self) => {
						const view = new FixedSlotShares(self);
						view.update(entryVms);
						return view.free(targetFixture(name, {slots}));
					});
					expect(shares.at(-1)).toBe(0);
					expect(shares.reduce((sum, share) => sum + share, 0)).toBe(slots);
				},
			),
			runs,
		);
	});
});
