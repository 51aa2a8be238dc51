import {afterEach, describe, expect, it} from 'vitest';
import {oneLeaderShape} from './zone-faults.js';
import {playZoneModel, zoneModelEntryVms} from './zone-leaders-model.js';
import {
	type ZoneModelSettings,
	type ZoneStage,
	type zoneModelDays,
} from './zone-model-settings.js';

/** Plays model days and expects no two runs of a task at the same time, and no start of a job that was refused for good. */
function expectNoOverlaps(
	day: keyof typeof zoneModelDays,
	seeds: readonly number[],
): void {
	for (const seed of seeds) {
		const result = playZoneModel(day, seed);
		expect(
			result.overlaps.map(({trace}) => trace),
			`seed ${seed}`,
		).toEqual([]);
		expect(result.falseRefusals, `seed ${seed}`).toEqual([]);
		expect(result.completedCount, `seed ${seed}`).toBeGreaterThan(0);
	}
}

/** Plays what a script plans, and nothing else, with several seeds, and expects that the job runs, but never twice at once. */
function expectNoOverlapInScript(
	script: NonNullable<ZoneModelSettings['script']>,
): void {
	for (const seed of [1, 2, 3]) {
		const {overlaps, startCount} = playZoneModel('scripted', seed, {script});
		expect(
			overlaps.map(({trace}) => trace),
			`seed ${seed}`,
		).toEqual([]);
		expect(startCount, `seed ${seed}`).toBeGreaterThan(0);
	}
}

/** Plays the same under one leader of the region, zone-a-entry-1, from 5000 ms on. */
function expectNoOverlapUnderOneLeader(
	script: NonNullable<ZoneModelSettings['script']>,
): void {
	for (const seed of [1, 2, 3]) {
		const {overlaps, startCount} = playZoneModel('scripted', seed, {
			script,
			shape: oneLeaderShape,
			durationMs: 12_000,
		});
		expect(
			overlaps.map(({trace}) => trace),
			`seed ${seed}`,
		).toEqual([]);
		expect(startCount, `seed ${seed}`).toBeGreaterThan(0);
	}
}

/**
 * Cuts zone-c off at 7600 ms. Its entry VMs are late before, so that they announce long intervals of heartbeats, and the leader
 * is late after, so that it takes their silence for its own.
 */
function planLateCutOfZoneC(stage: ZoneStage): void {
	for (const [index, entryVm] of [
		'zone-c-entry-1',
		'zone-c-entry-2',
		'zone-c-entry-3',
	].entries()) {
		stage.plan(6700 + 150 * index, ({stand}) => {
			stand(entryVm, 250);
		});
	}

	stage.plan(7600, ({cutZone}) => {
		cutZone('zone-c', 4000, false);
	});
	for (const atMs of [8050, 8300, 8550, 8800, 9050]) {
		stage.plan(atMs, ({stand}) => {
			stand('zone-a-entry-1', 200);
		});
	}
}

/** Names of jobs that occupy all workers of a zone. */
const fillingJobs = Array.from({length: 8}, (_, index) => `filling${index}`);

// The plays are synchronous; without a pause the test runner's own messages time out on a busy machine.
afterEach(async () => {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
});

describe('leaders of zones', () => {
	it('refuse, overflow and balance on model days, so that these show faults of all three', () => {
		const days = [1, 2, 3].map((seed) => playZoneModel('calm', seed));
		const sum = (count: (day: (typeof days)[number]) => number) =>
			days.reduce((total, day) => total + count(day), 0);
		expect(sum(({refusedCount}) => refusedCount)).toBeGreaterThan(15);
		expect(sum(({overflowCount}) => overflowCount)).toBeGreaterThan(15);
		expect(sum(({balancedCount}) => balancedCount)).toBeGreaterThan(15);
		expect(days.map(({claimCount}) => claimCount)).toEqual([3, 3, 3]);
	});

	it('play the same model day twice in the same way', () => {
		expect(playZoneModel('all', 7).trace).toEqual(
			playZoneModel('all', 7).trace,
		);
	});

	it.each([
		['calm', [1, 2]],
		['kills', [1, 2]],
		['leaderKills', [1, 2]],
		['pairKills', [1, 2]],
		['stops', [1, 2]],
		['lossOfAll', [1, 2]],
		['resets', [1, 2]],
		['stalls', [1, 2]],
		['cuts', [1, 2]],
		['zoneCuts', [1, 2]],
		['breaks', [1, 2]],
		['silences', [1, 2]],
		['moves', [1, 2, 3, 12]],
		['storeOutages', [1, 2]],
		['all', [1, 2, 3, 4]],
	] as const)(
		'never have two runs of a task at the same time on model days of the kind %s',
		(day, seeds) => {
			expectNoOverlaps(day, seeds);
		},
	);

	it('do not start a job whose caller was reset and moved to another zone while it runs in the former one', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'moved', 3000, ['zone-a-entry-2', 'zone-c-entry-2']);
			stage.resetCaller(3100, 'moved');
		});
	});

	it('do not start a job whose caller was reset while it waited, and whose copy runs in another zone', () => {
		expectNoOverlapInScript((stage) => {
			for (const id of fillingJobs) {
				stage.sendJob(3000, id, 2500, ['zone-a-entry-1']);
			}

			stage.sendJob(3900, 'moved', 3600, ['zone-a-entry-1', 'zone-c-entry-2']);
			stage.resetCaller(4000, 'moved');
		});
	});

	it('do not start a job that a receiver without its caller submits to a new leader while its copy runs in another zone', () => {
		expectNoOverlapInScript((stage) => {
			for (const id of fillingJobs) {
				stage.sendJob(3000, id, 2000, ['zone-a-entry-3']);
			}

			stage.sendJob(3008, 'moved', 3600, ['zone-a-entry-2', 'zone-c-entry-2']);
			stage.resetCaller(3100, 'moved');
			stage.lose(3300, ['zone-a-entry-1'], 3000);
		});
	});

	it('do not start a copy that its receiver balances to another zone while its own zone runs the job', () => {
		expectNoOverlapInScript((stage) => {
			for (const id of fillingJobs) {
				stage.sendJob(3000, id, 700, ['zone-a-entry-1']);
				stage.sendJob(3720, `next-${id}`, 3000, ['zone-a-entry-1']);
			}

			stage.sendJob(3050, 'balanced', 1100, [
				'zone-a-entry-1',
				'zone-a-entry-3',
			]);
			stage.resetCaller(3150, 'balanced');
		});
	});

	it('do not start a copy in another zone after the loss of all while the new leader of the former zone keeps its run alive', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'lost', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			for (const [zone, restartMs] of [
				['zone-a', 550],
				['zone-b', 300],
				['zone-c', 300],
			] as const) {
				stage.lose(
					4000,
					zoneModelEntryVms.filter((name) => name.startsWith(zone)),
					restartMs,
				);
			}
		});
	});

	it('do not start a copy in another zone after the loss of all if its caller was reset before, while the lease of the run lasts', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'reset', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			stage.resetCaller(3400, 'reset');
			for (const [zone, restartMs] of [
				['zone-a', 550],
				['zone-b', 300],
				['zone-c', 300],
			] as const) {
				stage.lose(
					4000,
					zoneModelEntryVms.filter((name) => name.startsWith(zone)),
					restartMs,
				);
			}
		});
	});

	it('do not start a copy in another zone after the loss of all entry VMs of a zone while its new leader keeps the run alive', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'lost', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			stage.lose(
				4000,
				zoneModelEntryVms.filter((name) => name.startsWith('zone-a')),
				550,
			);
		});
	});

	it('do not start a copy in another zone while leaders that are lost one after the other keep its run alive', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'lost', 3600, ['zone-a-entry-1', 'zone-b-entry-2']);
			stage.lose(4000, ['zone-a-entry-1'], 3000);
			stage.lose(4650, ['zone-a-entry-2'], 3000);
		});
	});

	it('do not start a copy that a new leader sees first before the worker that runs the job has reported to it', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'lost', 3600, ['zone-a-entry-2', 'zone-a-entry-3']);
			stage.lose(
				4000,
				zoneModelEntryVms.filter((name) => name.startsWith('zone-a')),
				550,
			);
			stage.lose(5250, ['zone-a-entry-1'], 3000);
			stage.silenceWorkersOf(5250, 'lost', 300);
		});
	});

	it('do not start a job again that runs on a worker which has lost its entry in the store, when its leader is lost', () => {
		expectNoOverlapInScript((stage) => {
			stage.sendJob(3000, 'unlisted', 6000, ['zone-a-entry-2']);
			stage.unlistWorkersOf(3500, 'unlisted');
			stage.lose(7500, ['zone-a-entry-1'], 3000);
		});
	});

	it('do not start a job of another zone again, under a leader of the region that lists no worker of that zone', () => {
		expectNoOverlapInScript((stage) => {
			// The processes that start during the outage know only the workers that former leaders hand over to them.
			stage.stopStore(2400, 9000);
			stage.lose(
				2500,
				zoneModelEntryVms.filter((name) => !name.endsWith('1')),
				200,
			);
			stage.stop(3300, 'zone-b-entry-1');
			stage.stop(3300, 'zone-c-entry-1');
			stage.stop(3950, 'zone-a-entry-1');
			stage.sendJob(5500, 'listed', 3600, ['zone-c-entry-3']);
		});
	});
});

describe('a leader of the region', () => {
	it('does not leave a job of a lost caller running when its copy may start under the leader of a zone that was cut off', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			stage.sendJob(7100, 'moved', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			stage.resetCaller(7500, 'moved');
			stage.plan(7520, ({cutZone}) => {
				cutZone('zone-b', 2500, false);
			});
		});
	});

	it('does not start a waiting job of a lost caller whose copy the leader of a zone that was cut off has started', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			for (const id of fillingJobs) {
				for (const part of ['a', 'b', 'c']) {
					stage.sendJob(7000, `${id}${part}`, 3000, ['zone-a-entry-3']);
				}
			}

			stage.sendJob(8050, 'moved', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			stage.resetCaller(8500, 'moved');
			stage.plan(8550, ({cutZone}) => {
				cutZone('zone-b', 2500, false);
			});
		});
	});

	it('that has claimed some zones only does not start a copy of a job that runs in another zone for its lost predecessor', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			for (const id of fillingJobs) {
				for (const part of ['a', 'b']) {
					stage.sendJob(7000, `${id}${part}`, 700, ['zone-a-entry-3']);
				}
			}

			stage.sendJob(7100, 'moved', 3600, ['zone-c-entry-2', 'zone-a-entry-2']);
			stage.resetCaller(7500, 'moved');
			stage.plan(8000, ({cutZone}) => {
				cutZone('zone-b', 2500, false);
			});
			stage.lose(8320, ['zone-a-entry-1'], 5000);
		});
	});

	it('does not leave a job of a lost caller at work when it is frozen at the time of the stop, while a zone is cut off', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			stage.sendJob(7100, 'moved', 3600, ['zone-a-entry-2', 'zone-b-entry-2']);
			stage.plan(7300, ({cutZone}) => {
				cutZone('zone-b', 3000, false);
			});
			stage.resetCaller(7900, 'moved');
			stage.plan(8930, ({stand}) => {
				stand('zone-a-entry-1', 900);
			});
		});
	});

	it('does not leave a job of a lost caller running for its copy in a zone that was cut off, while the entry VMs of the zone count as live', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			planLateCutOfZoneC(stage);
			stage.sendJob(7300, 'moved', 4000, ['zone-a-entry-2', 'zone-c-entry-2']);
			stage.resetCaller(7700, 'moved');
		});
	});

	it('does not leave a job of a lost receiver running for its copy in the zone that was cut off with it', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			planLateCutOfZoneC(stage);
			stage.sendJob(7300, 'moved', 4000, ['zone-c-entry-2', 'zone-c-entry-3']);
			stage.lose(7650, ['zone-c-entry-2'], 3000);
		});
	});

	it('does not start a task again whose run the leader of a zone that was cut off has adopted, while the receiver counts as live', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			// The first zone is full, so that the job runs in zone-c.
			for (const id of fillingJobs) {
				stage.sendJob(7000, id, 1800, ['zone-a-entry-3']);
			}

			planLateCutOfZoneC(stage);
			stage.sendJob(7300, 'adopted', 4000, ['zone-c-entry-2']);
		});
	});

	it('does not keep the run of a receiver that is cut off at work until the leader of its zone may start the task again', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			planLateCutOfZoneC(stage);
			stage.sendJob(7300, 'kept', 4000, ['zone-c-entry-2']);
		});
	});

	it('does not leave a job of a lost receiver at work when its worker gets no stop, while the zone of the receiver is cut off', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			stage.sendJob(7100, 'moved', 3600, ['zone-c-entry-2', 'zone-c-entry-3']);
			stage.plan(7600, ({cutZone}) => {
				cutZone('zone-c', 2500, false);
			});
			stage.resetCaller(7850, 'moved');
			stage.silenceWorkersOf(8500, 'moved', 700);
		});
	});

	it('does not start a copy of a job that its receiver has given up behind a cut, while the lease of the run lasts on a worker that gets no stop', () => {
		expectNoOverlapUnderOneLeader((stage) => {
			stage.sendJob(7100, 'moved', 3600, ['zone-c-entry-2', 'zone-c-entry-3']);
			stage.plan(7600, ({cutZone}) => {
				cutZone('zone-c', 2500, false);
			});
			stage.resetCaller(7650, 'moved');
			stage.silenceWorkersOf(8340, 'moved', 900);
		});
	});
});
