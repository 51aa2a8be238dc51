import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {PoolInstallation, type PoolEntryVm} from '../pool/pool-installation.js';
import {collectRuns} from '../pool/recorded-runs.js';

const givenUpBody = '{"error":"may have run: workers-crashed"}';
let runningInstallation: PoolInstallation | undefined;

afterEach(() => {
	runningInstallation?.close();
});

/** Starts an installation of two zones with one leader, and submits a job whose only task crashes each worker; its first starts may get no answer. */
async function crashingJobFixture(
	unansweredStarts = 0,
	confirmationDelayMs = 0,
) {
	const installation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone: 2,
		workersPerZone: 4,
		processorMillis: 64_000,
	});
	runningInstallation = installation;
	await installation.start();
	// Leaders that start at once merge after 1.5 s.
	await sleep(2500);
	const leader = findLeader(installation);
	const [receiver, other] = installation.entryVms.filter(
		(entryVm) => entryVm !== leader,
	);
	const id = installation.newId();
	const submit = async (entryVm: PoolEntryVm) =>
		installation.submit(entryVm, id, {
			count: 1,
			runMs: 10,
			needsMillis: 1000,
			crashesWorker: true,
			unansweredStarts,
			confirmationDelayMs,
			deadlineMs: 12_000,
		});
	return {
		installation,
		leader,
		receiver: receiver!,
		other: other!,
		submit,
		startCount: () => collectRuns(installation).length,
	};
}

function findLeader({entryVms}: PoolInstallation): PoolEntryVm {
	return entryVms.find(
		({lines}) =>
			lines
				.findLast((line) => line.includes('"event":"leadership"'))
				?.includes('"kind":"claimed"') === true,
	)!;
}

async function waitForStarts(
	startCount: () => number,
	count: number,
): Promise<void> {
	while (startCount() < count) {
		// eslint-disable-next-line no-await-in-loop -- polls one after another
		await sleep(20);
	}
}

describe('a task that crashes workers', () => {
	it('is started twice, and its caller learns that the job was given up', async () => {
		const {submit, receiver, startCount} = await crashingJobFixture();
		const {status, body} = await submit(receiver);
		expect([startCount(), status, body]).toEqual([2, 502, givenUpBody]);
	});

	it('is started twice if the starts are confirmed late, after the command was sent again', async () => {
		const {submit, receiver, startCount} = await crashingJobFixture(0, 80);
		const {status, body} = await submit(receiver);
		expect([startCount(), status, body]).toEqual([2, 502, givenUpBody]);
	});

	it('is started a third time if the confirmation of a start is lost, and its caller gets the same answer', async () => {
		const {submit, receiver, startCount} = await crashingJobFixture(1);
		const {status, body} = await submit(receiver);
		// Without a confirmation, the command may have reached the worker after its crash.
		expect([startCount(), status, body]).toEqual([3, 502, givenUpBody]);
	});

	it('is not started again for a copy that arrives at a new leader, if the confirmation of a start was lost', async () => {
		const {submit, receiver, other, leader, startCount} =
			await crashingJobFixture(1);
		await submit(receiver);
		leader.child.kill('SIGKILL');
		await sleep(1300);
		const {body} = await submit(other);
		expect([startCount(), body]).toEqual([3, givenUpBody]);
	});

	it.each(['SIGKILL', 'SIGTERM'] as const)(
		'is started twice if its leader gets %s between the two crashes',
		async (signal) => {
			const {submit, receiver, leader, startCount} = await crashingJobFixture();
			const answer = submit(receiver);
			await waitForStarts(startCount, 1);
			await sleep(500);
			leader.child.kill(signal);
			const {body} = await answer;
			expect([startCount(), body]).toEqual([2, givenUpBody]);
		},
	);

	it('is not started again by a new leader that was out of reach when the last crash was reported', async () => {
		const {installation, submit, leader, startCount} =
			await crashingJobFixture();
		const {entryVms} = installation;
		const others = entryVms.filter(({zone}) => zone !== leader.zone);
		const answer = submit(
			entryVms.find(
				(entryVm) => entryVm !== leader && !others.includes(entryVm),
			)!,
		);
		await waitForStarts(startCount, 1);
		await sleep(300);
		for (const {child} of others) {
			child.kill('SIGSTOP');
		}

		await answer;
		for (const {child} of others) {
			child.kill('SIGCONT');
		}

		await sleep(1000);
		leader.child.kill('SIGKILL');
		await sleep(300);
		const {body} = await submit(others[0]!);
		expect([startCount(), body]).toEqual([2, givenUpBody]);
	});

	it('is started twice if its receiver is killed and the caller sends the job to another entry VM', async () => {
		const {submit, receiver, other, startCount} = await crashingJobFixture();
		const lost = submit(receiver);
		await waitForStarts(startCount, 1);
		await sleep(500);
		receiver.child.kill('SIGKILL');
		await lost;
		await sleep(1300);
		const {body} = await submit(other);
		expect([startCount(), body]).toEqual([2, givenUpBody]);
	});

	it('is not started again for a copy that arrives at a new leader after the answer', async () => {
		const {submit, receiver, other, leader, startCount} =
			await crashingJobFixture();
		await submit(receiver);
		leader.child.kill('SIGKILL');
		await sleep(1300);
		const {body} = await submit(other);
		expect([startCount(), body]).toEqual([2, givenUpBody]);
	});
});
