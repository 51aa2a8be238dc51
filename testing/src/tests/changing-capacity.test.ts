import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {PoolInstallation} from '../pool/pool-installation.js';
import {collectRuns} from '../pool/recorded-runs.js';

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Longer than a leader takes to read a changed record of a worker. */
const recordDelayMs = 1200;

describe('a worker whose record changes in its capacity only', () => {
	it('is not filled beyond what is left, and takes the rest when it grows again', async () => {
		const installation = new PoolInstallation({
			zones: ['a'],
			entryVmsPerZone: 2,
			workersPerZone: 1,
			processorMillis: 64_000,
			guardsCapacity: false,
		});
		runningInstallation = installation;
		await installation.start();
		const [worker] = installation.workers;
		const [entryVm] = installation.entryVms;
		const submit = async (runMs: number) =>
			installation.submit(entryVm!, installation.newId(), {
				count: 1,
				runMs,
				needsMillis: 25_000,
				deadlineMs: 10_000,
			});
		const long = submit(2500);
		await sleep(300);
		worker!.resize(30_000, recordDelayMs);
		installation.registerWorkers();
		await sleep(recordDelayMs);
		const waiting = submit(100);
		await sleep(300);
		const startsWhileSmall = collectRuns(installation).length;
		worker!.resize(64_000, 0);
		installation.registerWorkers();
		const answers = await Promise.all([waiting, long]);
		expect(startsWhileSmall).toBe(1);
		expect(worker!.largestExcessMillis).toBeLessThanOrEqual(0);
		expect(answers.map(({status}) => status)).toEqual([200, 200]);
		const [first, second] = collectRuns(installation);
		expect(second!.startedAtMs).toBeLessThan(first!.endedAtMs!);
	});
});
