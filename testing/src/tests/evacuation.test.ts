import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {type PoolInstallation} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';
import {
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

/** Time by which every entry VM knows of a request: a read of the store and a round of heartbeats, with room for a busy machine. */
const spreadMs = 1000;

function requestEvacuation(
	{store}: PoolInstallation,
	zone: string,
	isRequested = true,
): void {
	store.put('keyed.op', `evacuate/${zone}`, isRequested ? '{}' : '');
}

/** Submits jobs to the entry VMs of zone a; returns their statuses and the zones that ran them. */
async function submitInZoneA(
	installation: PoolInstallation,
	count: number,
): Promise<{
	readonly statuses: readonly number[];
	readonly zones: ReadonlySet<string>;
}> {
	const receivers = installation.entryVms.filter(({zone}) => zone === 'a');
	const ids = Array.from({length: count}, () => installation.newId());
	const answers = await Promise.all(
		ids.map(async (id, index) =>
			installation.submit(receivers[index % receivers.length]!, id, shortJob),
		),
	);
	return {
		statuses: answers.map(({status}) => status),
		zones: new Set(ids.flatMap((id) => [...zonesOfRuns(installation, id)])),
	};
}

/** Counts the runs on workers of a zone that have started since a number of runs was counted. */
function countRuns({workers}: PoolInstallation, zone: string): number {
	return workers
		.filter(({options}) => options.zone === zone)
		.reduce((sum, {runs}) => sum + runs.length, 0);
}

describe('evacuation of a zone', () => {
	it('sends the jobs of its callers to the other zone without a refusal, and uses it again after the request is withdrawn', async () => {
		const installation = await start(2);
		requestEvacuation(installation, 'x');
		requestEvacuation(installation, 'a');
		await sleep(spreadMs);
		const during = await submitInZoneA(installation, 20);
		expect(new Set(during.statuses)).toEqual(new Set([200]));
		expect(during.zones).toEqual(new Set(['b']));
		requestEvacuation(installation, 'a', false);
		await sleep(spreadMs);
		const after = await submitInZoneA(installation, 20);
		expect(new Set(after.statuses)).toEqual(new Set([200]));
		expect(after.zones).toContain('a');
	});

	it('completes the jobs that arrive while the request spreads', async () => {
		const installation = await start(2);
		const pending = submitPaced(installation, installation.entryVms, 120);
		await sleep(500);
		requestEvacuation(installation, 'a');
		const answers = await pending;
		expect(
			answers.filter(({status}) => status === 200).length,
		).toBeGreaterThanOrEqual(118);
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
	});

	it('starts nothing there after its leader was killed and restarted while the store is away', async () => {
		const installation = await start(2);
		requestEvacuation(installation, 'a');
		await sleep(spreadMs);
		installation.store.isDown = true;
		const runsBefore = countRuns(installation, 'a');
		const leader = findLeader(installation, 'a');
		leader.child.kill('SIGKILL');
		await sleep(200);
		installation.restart(leader);
		await installation.waitUntilReady(leader);
		const {statuses, zones} = await submitInZoneA(installation, 20);
		expect(zones).toEqual(new Set(['b']));
		expect(new Set(statuses)).toEqual(new Set([200]));
		expect(countRuns(installation, 'a')).toBe(runsBefore);
	});

	it('refuses jobs at once as not run while all zones are evacuated', async () => {
		const installation = await start(1);
		requestEvacuation(installation, 'a');
		requestEvacuation(installation, 'b');
		await sleep(spreadMs);
		const answer = await installation.submit(
			installation.entryVms[0]!,
			installation.newId(),
			shortJob,
		);
		expect([429, 503]).toContain(answer.status);
		expect(answer.retryAfter).toBeDefined();
		expect(answer.tookMs).toBeLessThan(200);
	});
});
