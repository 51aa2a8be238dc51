import {setTimeout as sleep} from 'node:timers/promises';
import {
	PoolInstallation,
	formatTaskSpec,
	sendRequest,
	testQueue,
	type PoolEntryVm,
	type PoolHttpResponse,
} from './pool-installation.js';

/** Two zones have more than the workers from which each zone has its own leader. */
const workersPerZone = 65;
/** Longer than a job of the queue may wait and still meet its objective. */
const blockingMs = 20_000;

/** Starts two zones with so many small workers together that each has its own leader, and waits until all have reported. */
export async function startZonalInstallation(
	entryVmsPerZone: number,
): Promise<PoolInstallation> {
	const installation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone,
		workersPerZone,
		processorMillis: 1000,
	});
	try {
		await installation.start();
	} catch (error: unknown) {
		installation.close();
		throw error;
	}

	while (countReportedWorkers(installation) < 2 * workersPerZone) {
		// eslint-disable-next-line no-await-in-loop -- polls until the test times out
		await sleep(20);
	}

	return installation;
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
export function claimedZones({lines}: PoolEntryVm): readonly string[] {
	return lines
		.filter((line) => line.includes('"kind":"claimed"'))
		.map(
			(line) => /"zone":"(?<zone>[^"]+)"/v.exec(line)?.groups?.zone ?? 'none',
		);
}

/** Returns the entry VM that leads a zone: the one that has claimed it and not dropped it since. */
export function findLeader(
	{entryVms}: {readonly entryVms: readonly PoolEntryVm[]},
	zone: string,
): PoolEntryVm {
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
export async function fillZone(
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
			spec: formatTaskSpec({
				runMs: blockingMs,
				needsMillis: 1000,
				crashesWorker: false,
			}),
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
export function zonesOfRuns(
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
export async function submitPaced(
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
				const answer = await installation.submit(receiver!, id, shortJob);
				if (![0, 502, 504].includes(answer.status)) {
					return answer;
				}

				await sleep(1300);
				return installation.submit(nextReceiver!, id, shortJob);
			})(),
		);
		// eslint-disable-next-line no-await-in-loop -- paces the load
		await sleep(15);
	}

	return Promise.all(answers);
}

/** A job that workers run in 60 ms. */
export const shortJob = {count: 2, runMs: 60, needsMillis: 600};
