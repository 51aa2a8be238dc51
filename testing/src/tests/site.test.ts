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
import {type RecordedRun} from '../pool/worker-stand-in.js';

let site: PoolInstallation | undefined;

afterEach(() => {
	site?.close();
});

async function startSite(
	entryVmsPerZone = 2,
	change: Partial<PoolInstallationOptions> = {},
): Promise<PoolInstallation> {
	site = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone,
		workersPerZone: 4,
		processorMillis: 64_000,
		...change,
	});
	await site.start();
	return site;
}

const job = {count: 2, runMs: 60, needsMillis: 27_000};

/** Sends jobs one after the other through given entry VMs; a copy follows each that may have run, as callers do. */
async function load(
	{submit, newId}: Pick<PoolInstallation, 'submit' | 'newId'>,
	entryVms: readonly PoolEntryVm[],
	count: number,
): Promise<readonly PoolHttpResponse[]> {
	const answers: Array<Promise<PoolHttpResponse>> = [];
	for (let index = 0; index < count; index += 1) {
		const first = entryVms[index % entryVms.length]!;
		const second = entryVms[(index + 1) % entryVms.length]!;
		const id = newId();
		answers.push(
			(async () => {
				const answer = await submit(first, id, job);
				if (![0, 502, 504].includes(answer.status)) {
					return answer;
				}

				await sleep(1300);
				return submit(second, id, job);
			})(),
		);
		// eslint-disable-next-line no-await-in-loop -- paces the load
		await sleep(15);
	}

	return Promise.all(answers);
}

/** Pairs of runs of one task that overlapped. */
function overlaps(runs: readonly RecordedRun[]): readonly string[] {
	const byTask = new Map<string, readonly RecordedRun[]>();
	for (const run of runs) {
		byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
	}

	return [...byTask].flatMap(([task, list]) =>
		list
			.toSorted((left, right) => left.startedAtMs - right.startedAtMs)
			.some(
				(run, index, sorted) =>
					index > 0 &&
					run.startedAtMs <
						(sorted[index - 1]!.endedAtMs ?? Number.POSITIVE_INFINITY),
			)
			? [task]
			: [],
	);
}

function allRuns({workers}: PoolInstallation): readonly RecordedRun[] {
	return workers.flatMap(({runs}) => runs);
}

function leaderOf({entryVms}: PoolInstallation): PoolEntryVm {
	return entryVms.find(({lines}) =>
		lines.some((line) => line.includes('"kind":"claimed"')),
	)!;
}

/** The leaders that the entry VMs know at present. */
function leadersOf({entryVms}: PoolInstallation): ReadonlySet<unknown> {
	return new Set(
		entryVms.map(({lines}) => {
			const line = lines.findLast((other) =>
				other.includes('"event":"leader"'),
			);
			return /"leader":"(?<name>[^"]+)"/v.exec(line ?? '')?.groups?.name;
		}),
	);
}

function bound(own: PoolInstallation) {
	return {
		submit: own.submit.bind(own),
		newId: own.newId.bind(own),
	};
}

describe('an installation on the platform', () => {
	it('answers jobs that any entry VM receives, each task run once', async () => {
		const own = await startSite();
		const answers = await load(bound(own), own.entryVms, 40);
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 40}, () => 200),
		);
		expect(allRuns(own)).toHaveLength(80);
	});

	it('answers what cannot be served at once, naming the cause', async () => {
		const own = await startSite(1);
		const [entryVm] = own.entryVms;
		const port = entryVm!.callerPort;
		const post = async (path: string, body: string) =>
			sendRequest(port, 'POST', path, body);
		const path = testQueue.prefix + own.newId();
		expect(await post(path, 'no JSON')).toMatchObject({status: 400});
		expect(await post('/unknown/00', '{}')).toMatchObject({status: 404});
		expect(await post(`${testQueue.prefix}short`, '{}')).toMatchObject({
			status: 400,
		});
		const stored = await post(path, '{"steps":[{"count":1}]}');
		expect(stored.status).toBe(503);
		expect(stored.body).toContain('bestEffort');
		const large = await own.submit(entryVm!, own.newId(), {
			...job,
			needsMillis: 65_000,
		});
		expect(large.status).toBe(503);
		expect(large.body).toContain('cannot-fit');
		expect(await sendRequest(port, 'GET', path, '')).toMatchObject({status: 410});
		expect(await sendRequest(port, 'DELETE', path, '')).toMatchObject({status: 410});
		expect(await sendRequest(port, 'GET', testQueue.prefix, '')).toMatchObject({
			body: '{"pending":0}',
		});
		expect(allRuns(own)).toEqual([]);
	});

	it('never runs a task twice at a time when its leader is killed, and serves on', async () => {
		const own = await startSite();
		const leader = leaderOf(own);
		const others = own.entryVms.filter((entryVm) => entryVm !== leader);
		const loaded = load(bound(own), others, 120);
		await sleep(600);
		leader.child.kill('SIGKILL');
		const answers = await loaded;
		expect(overlaps(allRuns(own))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
		expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(
			60,
		);
	});

	it('never runs a task twice at a time when its leader freezes and wakes', async () => {
		const own = await startSite();
		const leader = leaderOf(own);
		const others = own.entryVms.filter((entryVm) => entryVm !== leader);
		const loaded = load(bound(own), others, 160);
		await sleep(400);
		leader.child.kill('SIGSTOP');
		await sleep(1500);
		leader.child.kill('SIGCONT');
		const answers = await loaded;
		expect(overlaps(allRuns(own))).toEqual([]);
		expect(answers.at(-1)?.status).toBe(200);
	});

	it('cuts off nothing at a planned stop of its leader', async () => {
		const own = await startSite();
		const leader = leaderOf(own);
		const answers: Array<Promise<PoolHttpResponse>> = [];
		for (let index = 0; index < 60; index += 1) {
			if (index === 20) {
				leader.child.kill('SIGTERM');
			}

			const entryVm = own.entryVms[index % own.entryVms.length]!;
			answers.push(own.submit(entryVm, own.newId(), job));
			// eslint-disable-next-line no-await-in-loop -- paces the load
			await sleep(15);
		}

		const answered = await Promise.all(answers);
		expect(answered.map(({status}) => status)).toEqual(
			Array.from({length: 60}, () => 200),
		);
		expect(allRuns(own)).toHaveLength(120);
	});

	it('answers what is left at the end of a stop, and breaks no connection', async () => {
		const own = await startSite();
		const leader = leaderOf(own);
		const stopping = own.entryVms.find((entryVm) => entryVm !== leader)!;
		const answers = [
			sendRequest(
				stopping.callerPort,
				'POST',
				`${testQueue.prefix}${own.newId()}`,
				'{"spec":"20000 100","bestEffort":true,"steps":[{"count":1,"cpu":100}]}',
				30_000,
			),
			own.submit(stopping, own.newId(), job),
		];
		await sleep(200);
		stopping.child.kill('SIGTERM');
		const [unfinished, finished] = await Promise.all(answers);
		expect([unfinished?.status, finished?.status]).toEqual([502, 200]);
		await sleep(300);
		expect(allRuns(own).every(({endedAtMs}) => endedAtMs !== undefined)).toBe(
			true,
		);
	}, 15_000);

	it('finds one leader through the store when no seed runs', async () => {
		const own = await startSite(2, {hasLiveSeeds: false});
		const answers = await load(bound(own), own.entryVms, 20);
		expect(answers.map(({status}) => status)).toEqual(
			Array.from({length: 20}, () => 200),
		);
		for (let look = 0; look < 100 && leadersOf(own).size > 1; look += 1) {
			// eslint-disable-next-line no-await-in-loop -- one look after the other
			await sleep(50);
		}

		expect(leadersOf(own).size).toBe(1);
	});

	it('gives a new process the desired state while the store is away, and never an older one', async () => {
		const own = await startSite();
		own.publishDesiredState(5, '/moved/');
		await sleep(800);
		own.store.isDown = true;
		const leader = leaderOf(own);
		const follower = own.entryVms.find((entryVm) => entryVm !== leader)!;
		follower.child.kill('SIGKILL');
		await sleep(100);
		own.restart(follower);
		await own.waitUntilReady(follower);
		const old = await own.submit(follower, own.newId(), job);
		expect(old.status).toBe(404);
		const moved = await sendRequest(
			follower.callerPort,
			'POST',
			`/moved/${own.newId()}`,
			'{"spec":"20 100","bestEffort":true,"steps":[{"count":1,"cpu":100}]}',
		);
		expect(moved.status).toBe(200);
	});
});
