import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type EntryVm, type Target} from '../machine.js';
import {createPlacementPolicy, placementPolicyNames} from '../placement.js';
import {seededRandom} from '../seeded-random.js';
import {FixedSlotShares, UncoordinatedSlots} from '../slot-share.js';
import {TargetTracker, type TrackedTarget} from '../target-tracker.js';
import {targetFixture} from './placement-fixtures.js';

const needs = {processors: 1, memoryMb: 256, accelerators: 0};
const runs = {seed: 1, numRuns: 100};

function createTracker(...targets: readonly Target[]): TargetTracker {
	const tracker = new TargetTracker('zone-a', new UncoordinatedSlots());
	tracker.update(targets);
	return tracker;
}

function listNames(tracked: readonly TrackedTarget[]): readonly string[] {
	return tracked.map(({target}) => target.name);
}

function recordFailures(
	tracked: TrackedTarget,
	times: number,
	now: number,
): void {
	for (let index = 0; index < times; index += 1) {
		tracked.health.recordFailure(`job-${index}`, now);
	}
}

function entryVmFixture(name: string, zone: string): EntryVm {
	return {role: 'entry', name, zone, state: 'live', peerAddress: `${name}:1`};
}

describe('TargetTracker', () => {
	it('selects targets of its own zone, and those of other zones only when no slot is free in its own', () => {
		const near = targetFixture('near', {slots: 1});
		const tracker = createTracker(near, targetFixture('far', {zone: 'zone-b'}));
		const {candidates} = tracker.selectCandidates(needs, 0);
		expect(listNames(candidates)).toEqual(['near']);
		tracker.tryReserve(candidates[0]!, needs, 0);
		const next = tracker.selectCandidates(needs, 0);
		expect(listNames(next.candidates)).toEqual(['far']);
		expect(next.passedOver.busy).toBe(1);
	});

	it('keeps the resources of tasks in flight within those of the target', () => {
		const large = {processors: 40, memoryMb: 1000, accelerators: 0};
		const tracker = createTracker(targetFixture('one'));
		const [tracked] = tracker.selectCandidates(large, 0).candidates;
		tracker.tryReserve(tracked!, large, 0);
		expect(tracker.selectCandidates(large, 0).passedOver.needs).toBe(1);
		expect(listNames(tracker.selectCandidates(needs, 0).candidates)).toEqual([
			'one',
		]);
		tracker.release(tracked!, large, 0);
		expect(listNames(tracker.selectCandidates(large, 0).candidates)).toEqual([
			'one',
		]);
		expect(tracker.canEverFit({...large, accelerators: 1})).toBe(false);
	});

	it('selects no target that has reported that it is leaving, even if the list shows it as live', () => {
		const targets = [targetFixture('goes'), targetFixture('stays')];
		const tracker = createTracker(...targets);
		tracker.listed[0]!.reportedLeavingAtMs = 0;
		tracker.update(targets);
		expect(listNames(tracker.selectCandidates(needs, 1000).candidates)).toEqual(
			['stays'],
		);
		tracker.update([
			targetFixture('goes', {address: 'http://another:80'}),
			targets[1]!,
		]);
		expect(tracker.selectCandidates(needs, 1000).candidates).toHaveLength(2);
	});

	it('ejects a failing target and later tries it with one task at a time', () => {
		const tracker = createTracker(
			targetFixture('fails'),
			targetFixture('works'),
		);
		const [failing] = tracker.listed;
		recordFailures(failing!, 3, 0);
		expect(listNames(tracker.selectCandidates(needs, 500).candidates)).toEqual([
			'works',
		]);
		expect(tracker.selectCandidates(needs, 1000).candidates).toHaveLength(2);
		tracker.tryReserve(failing!, needs, 1000);
		expect(listNames(tracker.selectCandidates(needs, 1000).candidates)).toEqual(
			['works'],
		);
		tracker.release(failing!, needs, 1000);
		failing!.health.recordFailure('trial', 1000);
		expect(failing!.health.getState(2500)).toBe('aside');
		failing!.health.recordCompletion(100, 100);
		expect(failing!.health.getState(2500)).toBe('taken');
	});

	it('suspends ejection when most targets are failing', () => {
		const tracker = createTracker(targetFixture('one'), targetFixture('two'));
		for (const tracked of tracker.listed) {
			recordFailures(tracked, 3, 0);
		}

		expect(tracker.selectCandidates(needs, 500).candidates).toHaveLength(2);
	});

	it('counts consecutive failures of one job once, and selects slow targets last', () => {
		const tracker = createTracker(
			targetFixture('slow'),
			targetFixture('quick'),
		);
		const [tracked] = tracker.listed;
		for (let index = 0; index < 20; index += 1) {
			tracked!.health.recordFailure('same', 0);
		}

		expect(tracked!.health.getState(0)).toBe('taken');
		for (let index = 0; index < 60; index += 1) {
			tracked!.health.recordCompletion(1000, 100);
		}

		expect(listNames(tracker.selectCandidates(needs, 0).candidates)).toEqual([
			'quick',
		]);
	});

	it.each(placementPolicyNames)(
		'never has more tasks in flight than a target has slots, with the policy %s',
		(name) => {
			fc.assert(
				fc.property(
					fc.integer(),
					fc.array(fc.boolean(), {maxLength: 100}),
					(seed, isStart) => {
						const tracker = createTracker(
							targetFixture('one', {slots: 3}),
							targetFixture('two', {slots: 5}),
						);
						const random = seededRandom(seed);
						const policy = createPlacementPolicy(name);
						const inFlight: TrackedTarget[] = [];
						for (const starts of isStart) {
							const chosen = starts
								? policy.choose(
										tracker.selectCandidates(needs, 0).candidates,
										random,
									)
								: undefined;
							if (chosen === undefined) {
								const ended = inFlight.shift();
								if (ended !== undefined) {
									tracker.release(ended, needs, 0);
								}
							} else {
								expect(tracker.tryReserve(chosen, needs, 0)).toBe(true);
								inFlight.push(chosen);
							}

							expect(
								tracker.listed.every(
									(tracked) => tracked.inFlight <= tracked.target.slots,
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

describe('FixedSlotShares', () => {
	it('gives the entry VMs of a zone shares that sum to the slots of each target in it, and other entry VMs none', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 5}),
				fc.integer({min: 1, max: 20}),
				fc.string(),
				(count, slots, name) => {
					const entryVms = [
						...Array.from({length: count}, (_, index) =>
							entryVmFixture(`entry-${index}`, 'zone-a'),
						),
						entryVmFixture('elsewhere', 'zone-b'),
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
