import {seededRandom} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {oneLeaderShape, zoneShape} from './zone-faults.js';
import {playZoneModel, zoneModelEntryVms} from './zone-leaders-model.js';
import {type ZoneStage} from './zone-model-settings.js';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const jobCount = 6;

/**
 * Plans jobs whose callers are reset and move to entry VMs of any zone, while zones are cut off, leaders are lost and workers cannot be
 * reached or lose their entries, all within 3 s after `fromMs`.
 */
function planLosses(stage: ZoneStage, seed: number, fromMs: number): void {
	const random = seededRandom(seed);
	const pick = <Item>(items: readonly Item[]): Item =>
		items[Math.floor(random() * items.length)]!;
	const draw = (lowest: number, highest: number) =>
		Math.round(lowest + (highest - lowest) * random());
	const repeat = (count: number, probability: number, plan: () => void) => {
		for (let index = 0; index < count; index += 1) {
			if (random() < probability) {
				plan();
			}
		}
	};

	const fillingMs = pick([700, 1500, 2500]);
	for (let index = pick([0, 16, 24]); index > 0; index -= 1) {
		stage.sendJob(fromMs, `filling${index}`, fillingMs, ['zone-a-entry-3']);
	}

	for (let index = 0; index < jobCount; index += 1) {
		const id = `moved${index}`;
		const entryVms = [1, 2, 3].map(() => pick(zoneModelEntryVms));
		stage.sendJob(fromMs + 100 + 60 * index, id, pick([1200, 3600]), entryVms);
		repeat(1, 0.8, () => {
			stage.resetCaller(fromMs + draw(450, 2500), id);
		});
	}

	repeat(2, 0.7, () => {
		const zone = pick(zones);
		const durationMs = draw(200, 2500);
		stage.plan(fromMs + draw(300, 3000), ({cutZone}) => {
			cutZone(zone, durationMs, false);
		});
	});
	repeat(3, 0.6, () => {
		const entryVm = random() < 0.5 ? 'zone-a-entry-1' : pick(zoneModelEntryVms);
		stage.lose(fromMs + draw(300, 3000), [entryVm], draw(200, 3000));
	});
	repeat(1, 0.3, () => {
		stage.unlistWorkersOf(fromMs + draw(300, 2000), 'moved1');
	});
	repeat(1, 0.3, () => {
		stage.silenceWorkersOf(fromMs + draw(300, 2500), 'moved2', draw(100, 900));
	});
	repeat(1, 0.2, () => {
		stage.stopStore(fromMs + draw(300, 2500), draw(500, 3000));
	});
}

describe('jobs whose callers move to other zones', () => {
	it.each([
		[
			'one leader for the region, which is lost or cut off',
			oneLeaderShape,
			7000,
		],
		['leaders of zones, which are lost or cut off', zoneShape, 3000],
	] as const)(
		'never have two runs at the same time under %s',
		(_, shape, fromMs) => {
			for (let seed = 1; seed <= 12; seed += 1) {
				const {overlaps, falseRefusals, startCount} = playZoneModel(
					'scripted',
					seed,
					{
						shape,
						durationMs: fromMs + 5500,
						script(stage) {
							planLosses(stage, seed, fromMs);
						},
					},
				);
				expect(
					overlaps.map(({trace}) => trace),
					`seed ${seed}`,
				).toEqual([]);
				expect(falseRefusals, `seed ${seed}`).toEqual([]);
				expect(startCount, `seed ${seed}`).toBeGreaterThanOrEqual(jobCount);
			}
		},
	);
});
