import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
	PoolInstallation,
	sendRequest,
	testQueue,
	type PoolHttpResponse,
	type PoolEntryVm,
	type PoolInstallationOptions,
} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';

let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

async function startInstallation(
	entryVmsPerZone = 2,
	overrides: Partial<PoolInstallationOptions> = {},
): Promise<PoolInstallation> {
	runningInstallation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone,
		workersPerZone: 4,
		processorMillis: 64_000,
		...overrides,
	});
	await runningInstallation.start();
	return runningInstallation;
}

const job = {count: 2, runMs: 60, needsMillis: 27_000};

/** Submits a job every 15 ms, to the given entry VMs in turn. As callers do, it resubmits a job that may have run to the next entry VM after 1300 ms. */
async function submitPaced(
	{submit, newId}: Pick<PoolInstallation, 'submit' | 'newId'>,
	entryVms: readonly PoolEntryVm[],
	count: number,
): Promise<readonly PoolHttpResponse[]> {
	const answers: Array<Promise<PoolHttpResponse>> = [];
	for (let index = 0; index < count; index += 1) {
		const receiver = entryVms[index % entryVms.length]!;
		const nextReceiver = entryVms[(index + 1) % entryVms.length]!;
		const id = newId();
		answers.push(
			(async () => {
				const answer = await submit(receiver, id, job);
				if (![0, 502, 504].includes(answer.status)) {
					return answer;
				}

				await sleep(1300);
				return submit(nextReceiver, id, job);
			})(),
		);
		// eslint-disable-next-line no-await-in-loop -- paces the load
		await sleep(15);
	}

	return Promise.all(answers);
}

/** Finds the first entry VM that has logged a claim of the leadership. */
function findFirstLeader({entryVms}: PoolInstallation): PoolEntryVm {
	return entryVms.find(({lines}) =>
		lines.some((line) => line.includes('"kind":"claimed"')),
	)!;
}

/** Collects the leaders that the entry VMs last reported in their logs. */
function collectReportedLeaders({
	entryVms,
}: PoolInstallation): ReadonlySet<unknown> {
	return new Set(
		entryVms.map(({lines}) => {
			const line = lines.findLast((other) =>
				other.includes('"event":"leader"'),
			);
			return /"leader":"(?<name>[^"]+)"/v.exec(line ?? '')?.groups?.name;
		}),
	);
}

/** Binds the methods that {@link submitPaced} uses to their installation. */
function bindSubmission(installation: PoolInstallation) {
	return {
		submit: installation.submit.bind(installation),
		newId: installation.newId.bind(installation),
	};
}

describe('an installation on stand-ins of the platform', () => {
	it('answers jobs that any entry VM receives, and runs each task once', async () => {
		const installation = await startInstallation();
		const answers = await submitPaced(
			bindSubmission(installation),
			installation.entryVms,
			40,
		);
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 40}, () => 200),
		);
		expect(collectRuns(installation)).toHaveLength(80);
	});

	it('immediately answers requests that it cannot serve, and reports the cause', async () => {
		const installation = await startInstallation(1);
		const [entryVm] = installation.entryVms;
		const port = entryVm!.callerPort;
		const post = async (path: string, body: string) =>
			sendRequest(port, 'POST', path, body);
		const path = testQueue.prefix + installation.newId();
		expect(await post(path, 'no JSON')).toMatchObject({status: 400});
		expect(await post('/unknown/00', '{}')).toMatchObject({status: 404});
		expect(await post(`${testQueue.prefix}short`, '{}')).toMatchObject({
			status: 400,
		});
		const withoutBestEffort = await post(path, '{"steps":[{"count":1}]}');
		expect(withoutBestEffort.status).toBe(503);
		expect(withoutBestEffort.body).toContain('bestEffort');
		const oversized = await installation.submit(
			entryVm!,
			installation.newId(),
			{
				...job,
				needsMillis: 65_000,
			},
		);
		expect(oversized.status).toBe(503);
		expect(oversized.body).toContain('cannot-fit');
		expect(await sendRequest(port, 'GET', path, '')).toMatchObject({
			status: 410,
		});
		expect(await sendRequest(port, 'DELETE', path, '')).toMatchObject({
			status: 410,
		});
		expect(await sendRequest(port, 'GET', testQueue.prefix, '')).toMatchObject({
			body: '{"pending":0}',
		});
		expect(collectRuns(installation)).toEqual([]);
	});

	it('never runs a task twice at the same time when its leader is killed, and continues to complete jobs', async () => {
		const installation = await startInstallation();
		const leader = findFirstLeader(installation);
		const others = installation.entryVms.filter(
			(entryVm) => entryVm !== leader,
		);
		const pendingAnswers = submitPaced(
			bindSubmission(installation),
			others,
			120,
		);
		await sleep(600);
		leader.child.kill('SIGKILL');
		const answers = await pendingAnswers;
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
		expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(
			60,
		);
	});

	it('never runs a task twice at the same time when its leader is paused and resumed', async () => {
		const installation = await startInstallation();
		const leader = findFirstLeader(installation);
		const others = installation.entryVms.filter(
			(entryVm) => entryVm !== leader,
		);
		const pendingAnswers = submitPaced(
			bindSubmission(installation),
			others,
			160,
		);
		await sleep(400);
		leader.child.kill('SIGSTOP');
		await sleep(1500);
		leader.child.kill('SIGCONT');
		const answers = await pendingAnswers;
		expect(findOverlappingTasks(collectRuns(installation))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
	});

	it('completes all jobs during a planned stop of its leader', async () => {
		const installation = await startInstallation();
		const leader = findFirstLeader(installation);
		const answers: Array<Promise<PoolHttpResponse>> = [];
		for (let index = 0; index < 60; index += 1) {
			if (index === 20) {
				leader.child.kill('SIGTERM');
			}

			const entryVm =
				installation.entryVms[index % installation.entryVms.length]!;
			answers.push(installation.submit(entryVm, installation.newId(), job));
			// eslint-disable-next-line no-await-in-loop -- paces the load
			await sleep(15);
		}

		const settledAnswers = await Promise.all(answers);
		expect(settledAnswers.map(({status}) => status)).toEqual(
			Array.from({length: 60}, () => 200),
		);
		expect(collectRuns(installation)).toHaveLength(120);
	});

	it('answers unfinished jobs at the end of a stop instead of closing their connections', async () => {
		const installation = await startInstallation();
		const leader = findFirstLeader(installation);
		const stopping = installation.entryVms.find(
			(entryVm) => entryVm !== leader,
		)!;
		const answers = [
			sendRequest(
				stopping.callerPort,
				'POST',
				`${testQueue.prefix}${installation.newId()}`,
				'{"spec":"20000 100","bestEffort":true,"steps":[{"count":1,"cpu":100}]}',
				{deadlineMs: 30_000},
			),
			installation.submit(stopping, installation.newId(), job),
		];
		await sleep(200);
		stopping.child.kill('SIGTERM');
		const [unfinished, finished] = await Promise.all(answers);
		expect([unfinished?.status, finished?.status]).toEqual([502, 200]);
		await sleep(300);
		expect(
			collectRuns(installation).every(({endedAtMs}) => endedAtMs !== undefined),
		).toBe(true);
	}, 15_000);

	it('agrees on one leader through the store when no seed peer runs', async () => {
		const installation = await startInstallation(2, {hasLiveSeeds: false});
		const answers = await submitPaced(
			bindSubmission(installation),
			installation.entryVms,
			20,
		);
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 20}, () => 200),
		);
		for (
			let attempt = 0;
			attempt < 100 && collectReportedLeaders(installation).size > 1;
			attempt += 1
		) {
			// eslint-disable-next-line no-await-in-loop -- polls until the entry VMs agree
			await sleep(50);
		}

		expect(collectReportedLeaders(installation).size).toBe(1);
	});

	it('gives a restarted entry VM the latest desired state, and not an older one, while the store is unavailable', async () => {
		const installation = await startInstallation();
		installation.publishDesiredState(5, '/moved/');
		await sleep(800);
		installation.store.isDown = true;
		const leader = findFirstLeader(installation);
		const follower = installation.entryVms.find(
			(entryVm) => entryVm !== leader,
		)!;
		follower.child.kill('SIGKILL');
		await sleep(100);
		installation.restart(follower);
		await installation.waitUntilReady(follower);
		const oldPathAnswer = await installation.submit(
			follower,
			installation.newId(),
			job,
		);
		expect(oldPathAnswer.status).toBe(404);
		const newPathAnswer = await sendRequest(
			follower.callerPort,
			'POST',
			`/moved/${installation.newId()}`,
			'{"spec":"20 100","bestEffort":true,"steps":[{"count":1,"cpu":100}]}',
		);
		expect(newPathAnswer.status).toBe(200);
	});
});
