import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
	PoolInstallation,
	formatTaskSpec,
	sendRequest,
	testQueue,
	type PoolEntryVm,
	type PoolHttpResponse,
} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';

/** Two zones have more than the workers from which each zone has its own leader. */
const workersPerZone = 65;
/** Longer than a job of the queue may wait and still meet its objective. */
const blockingMs = 20_000;

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Starts two zones with so many small workers together that each has its own leader, and waits until all have reported. */
async function startLargeInstallation(
	entryVmsPerZone: number,
): Promise<PoolInstallation> {
	runningInstallation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone,
		workersPerZone,
		processorMillis: 1000,
	});
	await runningInstallation.start();
	while (countReportedWorkers(runningInstallation) < 2 * workersPerZone) {
		// eslint-disable-next-line no-await-in-loop -- polls until the test times out
		await sleep(20);
	}

	return runningInstallation;
}

/** Counts the workers that have reported to a leader. A leader refuses jobs while it waits for the reports for long. */
function countReportedWorkers({entryVms}: PoolInstallation): number {
	return new Set(
		entryVms.flatMap(({lines}) =>
			lines
				.filter((line) => line.includes('"reason":"synced"'))
				.map((line) => /"worker":"(?<id>[^"]+)"/v.exec(line)?.groups?.id),
		),
	).size;
}

/** Returns the zones that an entry VM has claimed so far. */
function claimedZones({lines}: PoolEntryVm): readonly string[] {
	return lines
		.filter((line) => line.includes('"kind":"claimed"'))
		.map(
			(line) => /"zone":"(?<zone>[^"]+)"/v.exec(line)?.groups?.zone ?? 'none',
		);
}

/** Returns the entry VM that leads a zone: the one that has claimed it and not dropped it since. */
function findLeader({entryVms}: PoolInstallation, zone: string): PoolEntryVm {
	return entryVms.find(({lines}) =>
		lines
			.findLast(
				(line) =>
					line.includes('"event":"leadership"') &&
					line.includes(`"zone":"${zone}"`),
			)
			?.includes('"kind":"claimed"'),
	)!;
}

/** Fills all workers of a zone with one long job, whose caller waits for it; resolves when it runs on all of them. */
async function fillZone(
	installation: PoolInstallation,
	zone: string,
): Promise<void> {
	const receiver = installation.entryVms.find(
		(entryVm) => entryVm.zone === zone,
	)!;
	void sendRequest(
		receiver.callerPort,
		'POST',
		testQueue.prefix + installation.newId(),
		JSON.stringify({
			spec: formatTaskSpec(blockingMs, 1000),
			bestEffort: true,
			steps: [
				{count: workersPerZone, cpu: 1000, memMb: 64, estimatedMs: blockingMs},
			],
		}),
		{deadlineMs: 30_000},
	);
	const workers = installation.workers.filter(
		({options}) => options.zone === zone,
	);
	const isBusy = ({runs}: PoolInstallation['workers'][number]) =>
		runs.some(({endedAtMs}) => endedAtMs === undefined);
	while (!workers.every((worker) => isBusy(worker))) {
		// eslint-disable-next-line no-await-in-loop -- polls until the test times out
		await sleep(20);
	}
}

/** Returns the zones of the workers that have run tasks of a job. */
function zonesOfRuns(
	{workers}: PoolInstallation,
	id: string,
): ReadonlySet<string> {
	return new Set(
		workers
			.filter(({runs}) => runs.some(({task}) => task.startsWith(`${id}.`)))
			.map(({options}) => options.zone),
	);
}

/**
 * Submits a job every 15 ms, to the given entry VMs in turn. As callers do, it submits a job that may have run again
 * after 1300 ms, to the next entry VM.
 */
async function submitPaced(
	installation: PoolInstallation,
	receivers: readonly PoolEntryVm[],
	count: number,
): Promise<readonly PoolHttpResponse[]> {
	const answers: Array<Promise<PoolHttpResponse>> = [];
	for (let index = 0; index < count; index += 1) {
		const [receiver, nextReceiver] = [index, index + 1].map(
			(position) => receivers[position % receivers.length]!,
		);
		const id = installation.newId();
		answers.push(
			(async () => {
				const answer = await installation.submit(receiver!, id, job);
				if (![0, 502, 504].includes(answer.status)) {
					return answer;
				}

				await sleep(1300);
				return installation.submit(nextReceiver!, id, job);
			})(),
		);
		// eslint-disable-next-line no-await-in-loop -- paces the load
		await sleep(15);
	}

	return Promise.all(answers);
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

	it('runs jobs in the other zone while the workers of their own are busy, and refuses them while all are', async () => {
		const installation = await startLargeInstallation(1);
		const [inZoneA] = installation.entryVms;
		await fillZone(installation, 'a');
		const ids = Array.from({length: 10}, () => installation.newId());
		const answers = await Promise.all(
			ids.map(async (id) => installation.submit(inZoneA!, id, job)),
		);
		expect(answers.map(({status}) => status)).toEqual(ids.map(() => 200));
		expect(ids.map((id) => [...zonesOfRuns(installation, id)])).toEqual(
			ids.map(() => ['b']),
		);
		await fillZone(installation, 'b');
		const id = installation.newId();
		const refusal = await installation.submit(inZoneA!, id, job);
		expect(refusal.status).toBe(429);
		expect(zonesOfRuns(installation, id).size).toBe(0);
	});

	it('never runs a task twice at the same time when the leader of a zone is killed, and continues to complete jobs', async () => {
		const installation = await startLargeInstallation(2);
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
		const installation = await startLargeInstallation(2);
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
		const installation = await startLargeInstallation(2);
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
		const installation = await startLargeInstallation(2);
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
