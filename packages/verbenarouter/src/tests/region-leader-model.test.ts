import {afterEach, describe, expect, it} from 'vitest';
import {listEntryVms, regionShape} from './zone-faults.js';
import {playZoneModel} from './zone-leaders-model.js';
import {
	type ZoneModelSettings,
	type ZoneStage,
	type zoneModelDays,
} from './zone-model-settings.js';

type Script = NonNullable<ZoneModelSettings['script']>;

const entryVms = listEntryVms(regionShape);
/** Worker that joins after each entry VM has led a zone, so that no earlier list of a successor has it. */
const lateWorker = 'zone-d-worker-1';

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

/**
 * Lets a leader freeze for good when it starts the job `held` on the late worker, the only one with room at 6550 ms. The order
 * is carried out `delayMs` later; the successor has claimed its zones by 7020 ms, when the other workers have room too. The
 * job is sent at `sentAtMs`, and waits for the room.
 */
function planLateStart(
	stage: ZoneStage,
	delayMs: number,
	sentAtMs = 6550,
): void {
	stage.plan(0, ({loseEntries}) => {
		loseEntries([lateWorker], 0, 5000);
	});
	planWithLeader(stage, (leader, [first = '', second = '']) => {
		for (let index = 0; index < 14; index += 1) {
			stage.sendJob(4600, `filling${index}`, 2300, [first]);
		}

		const fillingMs = 6600 - sentAtMs;
		if (fillingMs > 100) {
			stage.sendJob(sentAtMs - 50, 'last1', fillingMs, [first]);
			stage.sendJob(sentAtMs - 50, 'last2', fillingMs, [first]);
		}

		stage.sendJob(sentAtMs, 'held', 3000, [second, first]);
		stage.plan(6500, ({standBeforeSend}) => {
			standBeforeSend(leader, delayMs, 0, true);
		});
		stage.plan(6700, ({stand}) => {
			stand(leader, 4000);
		});
	});
}

/**
 * Replaces all entry VMs, so that no successor is warm, and stops the leader at 6000 ms: until 9000 ms each zone has its own
 * leader, while receivers send jobs for all zones. Plans with an entry VM of each of two zones.
 */
function planParting(
	stage: ZoneStage,
	plan: (receivers: readonly [string, string]) => void,
): void {
	planWithLeader(stage, (leader, outer) => {
		stage.lose(
			4600,
			entryVms.filter((name) => name !== leader),
			200,
		);
		stage.stop(6000, leader);
		plan([outer[0]!, outer[2]!]);
	});
}

// The plays are synchronous; without a pause the test runner's own messages time out on a busy machine.
afterEach(async () => {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
});

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
		['regionLateWorkers', [1, 281]],
		['regionZoneLosses', [1]],
		['regionLateZoneCuts', [10, 26, 31, 44, 78, 237]],
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

	it('does not start a job on the workers that it lists, while the start by a frozen leader is carried out late on one whose entry has expired', () => {
		expectNoOverlapInScript(
			(stage) => {
				planLateStart(stage, 462);
				stage.plan(6600, ({loseEntries}) => {
					loseEntries([lateWorker], 0, 2500);
				});
			},
			[1, 34, 35],
		);
	});

	it('does not start a job again that its lost predecessor runs on a worker which registered just before an outage of the store', () => {
		expectNoOverlapInScript((stage) => {
			stage.plan(0, ({loseEntries}) => {
				loseEntries([lateWorker], 0, 5900);
			});
			planWithLeader(stage, (leader, [first = '', second = '']) => {
				for (let index = 0; index < 14; index += 1) {
					stage.sendJob(4600, `filling${index}`, 2300, [first]);
				}

				// Only the leader reads the list that has the late worker.
				stage.plan(5850, ({turnAwayFromStore}) => {
					turnAwayFromStore(
						entryVms.filter((name) => name !== leader),
						6000,
					);
				});
				stage.stopStore(6350, 3000);
				stage.sendJob(6400, 'held', 3000, [second, first]);
				stage.lose(6600, [leader], 5000);
			});
		});
	});

	it('does not start a copy that it sees first while a leader that is cut off runs the job in a zone without live entry VMs', () => {
		expectNoOverlapInScript((stage) => {
			planWithLeader(stage, (leader, [first = '', second = '']) => {
				stage.sendJob(5000, 'copied', 3000, [first, second]);
				stage.resetCaller(5100, 'copied');
				stage.plan(5800, ({cutZone}) => {
					cutZone(findZone(leader), 2000, false);
				});
			});
		});
	});

	it('does not start a copy while the leader of another zone, which has not merged yet, keeps the run of the job alive', () => {
		expectNoOverlapInScript((stage) => {
			planParting(stage, ([first, second]) => {
				stage.sendJob(6500, 'copied', 4000, [first, second]);
				stage.resetCaller(6600, 'copied');
			});
		});
	});

	it('does not start a waiting job while the leader of another zone, which has not merged yet, runs its copy', () => {
		expectNoOverlapInScript((stage) => {
			planParting(stage, ([first, second]) => {
				for (let index = 0; index < 4; index += 1) {
					stage.sendJob(6500, `filling${index}`, 1700, [first]);
				}

				stage.sendJob(6600, 'copied', 3000, [first, second]);
				stage.resetCaller(6700, 'copied');
			});
		});
	});

	it('does not start a job elsewhere while the start by a frozen leader is carried out late on a worker that has started anew under its id', () => {
		expectNoOverlapInScript(
			(stage) => {
				planLateStart(stage, 580);
				stage.stopStore(7050, 1000);
				stage.plan(7055, ({restartWorker}) => {
					restartWorker(lateWorker);
				});
			},
			[2, 3, 4],
		);
	});

	it('does not start a copy that it sees first while the start by a frozen leader is carried out late in a zone without live entry VMs', () => {
		expectNoOverlapInScript(
			(stage) => {
				planLateStart(stage, 462, 5700);
				stage.resetCaller(5720, 'held');
				stage.plan(6600, ({lose}) => {
					lose(
						entryVms.filter((name) => findZone(name) === 'zone-d'),
						4000,
					);
				});
			},
			[1, 3, 5],
		);
	});
});
