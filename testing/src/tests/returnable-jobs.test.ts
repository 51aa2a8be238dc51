import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
	formatTaskSpec,
	testQueue,
	type PoolEntryVm,
	type PoolInstallation,
} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';
import {startZonalInstallation} from '../pool/zonal-installation.js';

/** Time after which a caller that has lost its connection submits the job again. */
const copyDelayMs = 1300;
const longJob = {count: 2, runMs: 3000, needsMillis: 600};

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Submits a job on a connection that breaks once workers run it. */
async function submitOnBreakingConnection(
	installation: PoolInstallation,
	entryVm: PoolEntryVm,
	id: string,
): Promise<void> {
	const {count, runMs, needsMillis} = longJob;
	const body = JSON.stringify({
		spec: formatTaskSpec({runMs, needsMillis, crashesWorker: false}),
		bestEffort: true,
		steps: [{count, cpu: needsMillis, memMb: 64, estimatedMs: runMs}],
	});
	const socket = net.connect(entryVm.callerPort, '127.0.0.1');
	socket.on('error', () => {
		socket.destroy();
	});
	socket.write(
		[
			`POST ${testQueue.prefix}${id} HTTP/1.1`,
			`host: ${testQueue.host}`,
			'content-type: application/json',
			`content-length: ${body.length}`,
			'x-deadline-ms: 20000',
			'',
			body,
		].join('\r\n'),
	);
	const countRuns = () =>
		collectRuns(installation).filter(({task}) => task.startsWith(id)).length;
	while (countRuns() < count) {
		// eslint-disable-next-line no-await-in-loop -- polls until the test times out
		await sleep(10);
	}

	socket.resetAndDestroy();
}

describe('a caller whose connection breaks and that moves to another zone', () => {
	it('gets the answer of its first request, whose tasks are not run again', async () => {
		runningInstallation = await startZonalInstallation(1);
		const installation = runningInstallation;
		const [inZoneA, inZoneB] = installation.entryVms;
		const id = installation.newId();
		await submitOnBreakingConnection(installation, inZoneA!, id);
		await sleep(copyDelayMs);
		const answer = await installation.submit(inZoneB!, id, {
			...longJob,
			deadlineMs: 10_000,
		});
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(answer.status).toBe(200);
		expect(
			collectRuns(installation).filter(({task}) => task.startsWith(id)),
		).toHaveLength(longJob.count);
	});
});
