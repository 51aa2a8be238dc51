import {describe, expect, it} from 'vitest';
import {listEntryVms, regionShape} from './zone-faults.js';
import {playZoneModel} from './zone-leaders-model.js';
import {
	type ZoneModelSettings,
	type ZoneStage,
	type zoneModelDays,
} from './zone-model-settings.js';

type Script = NonNullable<ZoneModelSettings['script']>;

const entryVms = listEntryVms(regionShape);
/** Worker that is the only one with room while {@link fillOtherWorkers} fills the others. */
const lateWorker = 'zone-d-worker-2';

/** Plays what a script plans, and nothing else, and expects that the job runs, but never twice at once. */
function expectNoOverlapInScript(
	script: Script,
	seeds: readonly number[] = [1, 2, 3],
): void {
	for (const seed of seeds) {
		const {overlaps, startCount} = playZoneModel('regionScripted', seed, {
			script,
		});
		expect(
			overlaps.map(({trace}) => trace),
			`seed ${seed}`,
		).toEqual([]);
		expect(startCount, `seed ${seed}`).toBeGreaterThan(1);
	}
}

function findZone(entryVm: string): string {
	return entryVm.replace(/-entry-.*/, '');
}

/** Plans what depends on the leader of the region: `outer` are the entry VMs of the other zones. */
function planWithLeader(
	stage: ZoneStage,
	plan: (leader: string, outer: readonly string[]) => void,
): void {
	stage.plan(4500, ({findLeader}) => {
		const leader = findLeader()!;
		plan(
			leader,
			entryVms.filter((name) => findZone(name) !== findZone(leader)),
		);
	});
}

/** Occupies all workers from 4600 to 6900 ms, except the one that is not listed before 5000 ms. */
function fillOtherWorkers(stage: ZoneStage, receiver: string): void {
	for (let index = 0; index < 14; index += 1) {
		stage.sendJob(4600, `filling${index}`, 2300, [receiver]);
	}
}

describe('a leader of the region', () => {
	it('completes a job that it starts', () => {
		expectNoOverlapInScript((stage) => {
			planWithLeader(stage, (_leader, [receiver = '']) => {
				stage.sendJob(5000, 'first', 300, [receiver]);
			});
		});
	});

	it.each([
		['regionCalm', [1, 2]],
		['regionStalls', [1, 2, 101]],
		['regionLeaderCuts', [1, 101]],
		['regionResets', [1, 101]],
	] as const)(
		'never has a task run twice at the same time on model days of the kind %s',
		(day: keyof typeof zoneModelDays, seeds: readonly number[]) => {
			for (const seed of seeds) {
				const {overlaps, completedCount} = playZoneModel(day, seed);
				expect(
					overlaps.map(({trace}) => trace),
					`seed ${seed}`,
				).toEqual([]);
				expect(completedCount, `seed ${seed}`).toBeGreaterThan(0);
			}
		},
	);

	it('does not start a job again on workers that the successor lists, while a leader that stood still starts it on one whose entry has expired', () => {
		for (const standMs of [462, 500, 520]) {
			expectNoOverlapInScript(
				(stage) => {
					// The worker joins after the successor has led a zone, so that its earlier list lacks it too.
					stage.plan(0, ({loseEntries}) => {
						loseEntries([lateWorker], 0, 5000);
					});
					planWithLeader(stage, (leader, [first = '', second = '']) => {
						fillOtherWorkers(stage, first);
						stage.plan(6500, ({standBeforeSend}) => {
							standBeforeSend(leader, standMs, 0, true);
						});
						stage.sendJob(6550, 'held', 3000, [second]);
						stage.plan(6600, ({loseEntries}) => {
							loseEntries([lateWorker], 0, 2500);
						});
					});
				},
				[5, 8, 35],
			);
		}
	});
});
