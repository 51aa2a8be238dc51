import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {pauseRepeatedly} from '../pool/late-process.js';
import {
	PoolInstallation,
	type PoolEntryVm,
	type PoolHttpResponse,
} from '../pool/pool-installation.js';

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Finds the entry VM that most recently claimed the zone. */
function findLeader({entryVms}: PoolInstallation): PoolEntryVm {
	const lines = entryVms.flatMap((entryVm) =>
		entryVm.lines.filter((line) => line.includes('"event":"leader"')),
	);
	const name = /"leader":"(?<name>[^"]+)"/v.exec(lines.at(-1) ?? '')?.groups
		?.name;
	return entryVms.find((entryVm) => entryVm.name === name)!;
}

/** Pauses a leader five times for 250 ms, after which it announces longer intervals, and then for 450 ms. */
async function pauseLeader({child}: PoolEntryVm): Promise<void> {
	for (let index = 0; index < 5; index += 1) {
		for (const pauseMs of [250, 450]) {
			// eslint-disable-next-line no-await-in-loop -- one pause after another
			await pauseRepeatedly(child, {runMs: 600, pauseMs, count: 1});
		}
	}
}

describe('a leader that is late', () => {
	it('loses no submission that it reads before the heartbeat of its sender', async () => {
		const installation = new PoolInstallation({
			zones: ['a'],
			entryVmsPerZone: 3,
			workersPerZone: 4,
			processorMillis: 64_000,
		});
		runningInstallation = installation;
		await installation.start();
		await sleep(2000);
		const leader = findLeader(installation);
		const receivers = installation.entryVms.filter(
			(entryVm) => entryVm !== leader,
		);
		const answers: Array<Promise<PoolHttpResponse>> = [];
		const load = {isRunning: true};
		const pauses = pauseLeader(leader);
		void (async () => {
			await pauses;
			load.isRunning = false;
		})();

		for (let index = 0; load.isRunning; index += 1) {
			answers.push(
				installation.submit(receivers[index % 2]!, installation.newId(), {
					count: 1,
					runMs: 20,
					needsMillis: 100,
				}),
			);
			// eslint-disable-next-line no-await-in-loop -- paces the load
			await sleep(10);
		}

		const settledAnswers = await Promise.all(answers);
		// A job that no leader knows of is answered 504 at the end of its caller's patience.
		expect(
			settledAnswers.filter(({status}) => status === 504 || status === 0),
		).toEqual([]);
	});
});
