import {afterEach, describe, expect, it} from 'vitest';
import {PoolInstallation, type PoolEntryVm} from '../pool/pool-installation.js';

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Starts two zones with so many small workers together that each zone has its own leader. */
async function startLargeInstallation(
	entryVmsPerZone: number,
): Promise<PoolInstallation> {
	runningInstallation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone,
		workersPerZone: 65,
		processorMillis: 1000,
	});
	await runningInstallation.start();
	return runningInstallation;
}

/** Returns the zones that an entry VM has claimed so far. */
function claimedZones({lines}: PoolEntryVm): readonly string[] {
	return lines
		.filter((line) => line.includes('"kind":"claimed"'))
		.map(
			(line) => /"zone":"(?<zone>[^"]+)"/v.exec(line)?.groups?.zone ?? 'none',
		);
}

const job = {count: 2, runMs: 60, needsMillis: 600};

describe('an installation with a leader for each zone', () => {
	it('has leaders of their own zones only, from the start on', async () => {
		const installation = await startLargeInstallation(2);
		const answers = await Promise.all(
			Array.from({length: 20}, async (_, index) =>
				installation.submit(
					installation.entryVms[index % 4]!,
					installation.newId(),
					job,
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
});
