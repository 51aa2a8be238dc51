import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {type PoolInstallation, sendRequest} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';
import {
	claimedZones,
	fillZone,
	findLeader,
	shortJob,
	startZonalInstallation,
	submitPaced,
	zonesOfRuns,
} from '../pool/zonal-installation.js';

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

async function start(entryVmsPerZone: number): Promise<PoolInstallation> {
	runningInstallation = await startZonalInstallation(entryVmsPerZone);
	return runningInstallation;
}

describe('an installation with a leader for each zone', () => {
	it('has leaders of their own zones only, from the start on', async () => {
		const installation = await start(2);
		const answers = await Promise.all(
			Array.from({length: 20}, async (_, index) =>
				installation.submit(
					installation.entryVms[index % 4]!,
					installation.newId(),
					shortJob,
				),
			),
		);
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 20}, () => 200),
		);
		const claims = installation.entryVms.flatMap((entryVm) =>
			claimedZones(entryVm).map((zone) => [entryVm.zone, zone]),
		);
		expect(new Set(claims.map(([, zone]) => zone))).toEqual(
			new Set(['a', 'b']),
		);
		expect(claims.filter(([own, claimed]) => own !== claimed)).toEqual([]);
	});

	it('runs jobs in the other zone while the workers of their own are busy, and refuses them while all are', async () => {
		const installation = await start(1);
		const [inZoneA] = installation.entryVms;
		await fillZone(installation, 'a');
		const ids = Array.from({length: 10}, () => installation.newId());
		const answers = await Promise.all(
			ids.map(async (id) => installation.submit(inZoneA!, id, shortJob)),
		);
		expect(answers.map(({status}) => status)).toEqual(ids.map(() => 200));
		expect(ids.map((id) => [...zonesOfRuns(installation, id)])).toEqual(
			ids.map(() => ['b']),
		);
		await fillZone(installation, 'b');
		const id = installation.newId();
		const refusal = await installation.submit(inZoneA!, id, shortJob);
		expect(refusal.status).toBe(429);
		// A job that nobody can run in time is refused at once, not when its caller's patience ends.
		expect(refusal.tookMs).toBeLessThan(1000);
		expect(zonesOfRuns(installation, id).size).toBe(0);
	});

	it('never runs a task twice at the same time when the leader of a zone is killed, and continues to complete jobs', async () => {
		const installation = await start(2);
		const leader = findLeader(installation, 'a');
		const others = installation.entryVms.filter(
			(entryVm) => entryVm !== leader,
		);
		const pendingAnswers = submitPaced(installation, others, 160);
		await sleep(600);
		leader.child.kill('SIGKILL');
		const answers = await pendingAnswers;
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
		expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(
			80,
		);
	});

	it('never runs a task twice at the same time when the leader of a zone that jobs overflow to is killed', async () => {
		const installation = await start(2);
		await fillZone(installation, 'a');
		const leader = findLeader(installation, 'b');
		const receivers = installation.entryVms.filter(({zone}) => zone === 'a');
		const pendingAnswers = submitPaced(installation, receivers, 160);
		await sleep(600);
		leader.child.kill('SIGKILL');
		const answers = await pendingAnswers;
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
		expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(
			80,
		);
	});

	it('completes all jobs during a planned stop of the leader of a zone, and runs no task twice at the same time', async () => {
		const installation = await start(2);
		const leader = findLeader(installation, 'a');
		const pendingAnswers = submitPaced(installation, installation.entryVms, 60);
		await sleep(300);
		leader.child.kill('SIGTERM');
		const answers = await pendingAnswers;
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 60}, () => 200),
		);
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(findLeader(installation, 'a').zone).toBe('a');
	});

	it('gives each entry VM a new desired state through the leader of its zone', async () => {
		const installation = await start(2);
		installation.publishDesiredState(7, '/moved/');
		await sleep(1500);
		const answers = await Promise.all(
			installation.entryVms.map(async ({callerPort}) =>
				sendRequest(
					callerPort,
					'POST',
					`/moved/${installation.newId()}`,
					'{"spec":"20 100","bestEffort":true,"steps":[{"count":1,"cpu":100}]}',
				),
			),
		);
		expect(answers.map(({status}) => status)).toEqual(
			installation.entryVms.map(() => 200),
		);
	});
});
