import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
	isRunning,
	pauseRepeatedly,
	stopAsPlatform,
	type PausePattern,
} from '../pool/late-process.js';
import {
	OpenConnection,
	findLostRequests,
	type SentRequest,
} from '../pool/open-connection.js';
import {PoolInstallation} from '../pool/pool-installation.js';

const stopGraceMs = 6000;
const sendIntervalMs = 120;
const connectionCount = 50;
/** Requests that are sent before SIGTERM. */
const earlyRequestCount = 4;
/** Late by 700 ms once a second; the last pause begins 700 ms before the end of the grace period. */
const latePattern: PausePattern = {runMs: 300, pauseMs: 700, count: 6};

let runningInstallation: PoolInstallation | undefined;
let connections: readonly OpenConnection[] = [];

afterEach(() => {
	for (const connection of connections) {
		connection.close();
	}

	runningInstallation?.close();
});

/** Stops an entry VM while callers that had connected before send a request every 120 ms, each on its open connection. */
async function stopUnderLoad(
	pauses: PausePattern,
	runMs: number,
): Promise<{
	readonly sent: readonly SentRequest[];
	/** Identifiers of the lost requests with the time from SIGTERM to their sending. */
	readonly lost: readonly string[];
	readonly isKilled: boolean;
}> {
	const installation = new PoolInstallation({
		zones: ['a'],
		entryVmsPerZone: 2,
		workersPerZone: 2,
		processorMillis: 64_000,
	});
	runningInstallation = installation;
	await installation.start();
	const stopping =
		installation.entryVms.find(
			({lines}) => !lines.some((line) => line.includes('"kind":"claimed"')),
		) ?? installation.entryVms.at(-1)!;
	connections = Array.from(
		{length: connectionCount},
		() => new OpenConnection(stopping),
	);
	await Promise.all(connections.map(async (connection) => connection.open()));
	const task = {runMs, needsMillis: 100, crashesWorker: false};
	const sent = connections
		.slice(0, earlyRequestCount)
		.map(async (connection) => connection.submit(installation.newId(), task));
	await sleep(sendIntervalMs);
	const {child} = stopping;
	const stoppedAtMs = performance.now();
	const stopped = stopAsPlatform(child, stopGraceMs);
	const paused = pauseRepeatedly(child, pauses);
	for (const connection of connections.slice(earlyRequestCount)) {
		if (!isRunning(child)) {
			break;
		}

		sent.push(connection.submit(installation.newId(), task));
		// eslint-disable-next-line no-await-in-loop -- paces the load
		await sleep(sendIntervalMs);
	}

	const {isKilled} = await stopped;
	await paused;
	const settled = await Promise.all(sent);
	return {
		sent: settled,
		lost: findLostRequests(settled, [stopping]).map(
			({id, sentAtMs}) => `${id} at ${Math.round(sentAtMs - stoppedAtMs)} ms`,
		),
		isKilled,
	};
}

describe('a planned stop of an entry VM', () => {
	it('answers each request on an open connection that a late process has read before its SIGKILL', async () => {
		const {sent, lost, isKilled} = await stopUnderLoad(latePattern, 250);
		expect(sent.length).toBeGreaterThan(10);
		expect(lost).toEqual([]);
		expect(isKilled).toBe(false);
	}, 20_000);

	it('answers jobs that outlast the stop of a late process before its SIGKILL', async () => {
		const {lost, isKilled} = await stopUnderLoad(latePattern, 20_000);
		expect(lost).toEqual([]);
		expect(isKilled).toBe(false);
	}, 20_000);

	it('runs and answers all jobs that are submitted in the first 2 s of the stop of a process in time', async () => {
		const {sent, lost} = await stopUnderLoad(
			{runMs: 0, pauseMs: 0, count: 0},
			150,
		);
		const startedAtMs = sent[0]!.sentAtMs;
		expect(
			sent
				.filter(({sentAtMs}) => sentAtMs - startedAtMs < 2000)
				.map(({response}) => response.status),
		).not.toContain(503);
		expect(
			sent
				.filter(({sentAtMs}) => sentAtMs - startedAtMs < 2000)
				.every(({response}) => response.status === 200),
		).toBe(true);
		expect(lost).toEqual([]);
	}, 20_000);
});
