import {
	UncoordinatedSlots,
	createRefusal,
	type CatalogueItem,
	type Target,
	type TaskOutcome,
	type DispatchedTask,
} from '@verbenarouter/core';
import {type TargetClient} from '@verbenarouter/target';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {type DispatchRequest} from '../active-job.js';
import {Dispatcher} from '../dispatcher.js';
import {type PlacementDecision} from '../decision-log.js';
import {settingsSchema} from '../settings.js';

type Sent = {
	readonly target: string;
	readonly task: DispatchedTask;
	readonly end: (outcome: TaskOutcome) => void;
};

/** A client of targets whose tasks end when the test resolves them. */
class FakeTargetClient implements TargetClient {
	readonly sent: Sent[] = [];
	readonly cancelled: string[] = [];
	/** Resolves when the targets answer cancellations. */
	cancelAnswered: Promise<void> = Promise.resolve();
	/** Returns the immediate outcome of a task; `undefined` leaves the task in flight. */
	answer: (target: Target, task: DispatchedTask) => TaskOutcome | undefined =
		() => undefined;

	async start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome> {
		return new Promise((resolve) => {
			signal.addEventListener('abort', () => {
				resolve({kind: 'unknown', reason: 'cancelled', message: ''});
			});
			this.sent.push({target: target.name, task, end: resolve});
			const outcome = this.answer(target, task);
			if (outcome !== undefined) {
				resolve(outcome);
			}
		});
	}

	async cancel(_target: Target, taskIdentifier: string): Promise<void> {
		this.cancelled.push(taskIdentifier);
		await this.cancelAnswered;
	}

	async close(): Promise<void> {
		// Nothing is open.
	}
}

const completed: TaskOutcome = {kind: 'completed', output: 1, ranMs: 100};
const {placement} = settingsSchema.parse({
	name: 'entry-1',
	zone: 'zone-a',
	callerAddress: '127.0.0.1:1',
	operatorAddress: '127.0.0.1:2',
	peerAddress: '127.0.0.1:3',
	platform: {address: 'http://127.0.0.1:4'},
});

function createFixture(...list: readonly Target[]) {
	const targetClient = new FakeTargetClient();
	const placed: PlacementDecision[] = [];
	const dispatcher = new Dispatcher({
		targetClient,
		clock: () => Date.now(),
		log: {
			logPlacement(decision) {
				placed.push(decision);
			},
			logRouting() {
				// Nothing is routed.
			},
		},
		slots: new UncoordinatedSlots(),
		zone: 'zone-a',
		placement,
		seed: 1,
	});
	dispatcher.updateTargets(list);
	return {dispatcher, targetClient, placed};
}

function targetFixture(name: string, slots = 8): Target {
	return {
		role: 'target',
		name,
		zone: 'zone-a',
		rack: 'rack-1',
		state: 'live',
		address: `http://${name}:80`,
		slots,
		processors: 64,
		memoryMb: 131_072,
		accelerators: 0,
	};
}

function requestFixture(
	identifier: string,
	tasks = 1,
	needs: Partial<Extract<CatalogueItem, {kind: 'entry'}>['needs']> = {},
): DispatchRequest {
	return {
		identifier,
		team: {
			kind: 'team',
			name: 'coastal',
			tokenHash: '',
			role: 'caller',
			quota: {concurrency: 1000, startsPerSecond: 1000},
		},
		entry: {
			kind: 'entry',
			name: 'macro-check',
			owner: 'coastal',
			classOfWork: 'macro-check',
			idempotent: false,
			needs: {processors: 1, memoryMb: 256, accelerators: 0, ...needs},
			limits: {
				concurrency: 1000,
				startsPerSecond: 1000,
				deadlineMs: 60_000,
				largestJob: 1400,
			},
		},
		job: {
			entry: 'macro-check',
			tasks: Array.from({length: tasks}, (_, input) => ({input})),
		},
		deadlineAtMs: Date.now() + 60_000,
	};
}

describe('Dispatcher', () => {
	it('fills all slots, places waiting tasks as slots become free, and logs each placement', async () => {
		const {dispatcher, targetClient, placed} = createFixture(
			targetFixture('one', 2),
		);
		const answer = dispatcher.dispatch(requestFixture('job', 3));
		expect(targetClient.sent).toHaveLength(2);
		expect(dispatcher.waitingTasks).toBe(1);
		targetClient.answer = () => completed;
		for (const {end} of targetClient.sent) {
			end(completed);
		}

		await expect(answer).resolves.toMatchObject({
			verdict: 'completed',
			outputs: [1, 1, 1],
		});
		expect(placed).toHaveLength(3);
		expect(placed[0]).toMatchObject({
			target: 'one',
			reason: 'least-in-flight',
			candidates: 1,
			passedOver: {busy: 0},
		});
		expect(dispatcher.tasksInFlight).toBe(0);
	});

	it('retries on another target only if the task did not start', async () => {
		const {dispatcher, targetClient} = createFixture(
			targetFixture('full'),
			targetFixture('free'),
		);
		targetClient.answer = ({name}) =>
			name === 'full'
				? {
						kind: 'not-started',
						reason: 'full',
						message: '',
						retryAfterMs: 10_000,
					}
				: completed;
		const answers = await Promise.all(
			['a', 'b', 'c'].map(async (name) =>
				dispatcher.dispatch(requestFixture(name, 4)),
			),
		);
		expect(answers.map(({verdict}) => verdict)).toEqual(
			Array.from({length: 3}, () => 'completed'),
		);
		targetClient.answer = () => ({
			kind: 'unknown',
			reason: 'connection-lost',
			message: 'cut',
		});
		const before = targetClient.sent.length;
		await expect(
			dispatcher.dispatch(requestFixture('lost')),
		).resolves.toMatchObject({verdict: 'may-have-run'});
		expect(targetClient.sent).toHaveLength(before + 1);
	});

	it('places no more tasks on a target that reported that it is leaving', async () => {
		const {dispatcher, targetClient} = createFixture(
			targetFixture('leaves'),
			targetFixture('stays'),
		);
		targetClient.answer = ({name}) =>
			name === 'leaves'
				? {kind: 'not-started', reason: 'leaving', message: '', retryAfterMs: 0}
				: completed;
		for (let index = 0; index < 10; index += 1) {
			// eslint-disable-next-line no-await-in-loop -- one job after the other
			await dispatcher.dispatch(requestFixture(`job-${index}`));
		}

		expect(
			targetClient.sent.filter(({target}) => target === 'leaves').length,
		).toBeLessThanOrEqual(1);
	});

	it('ejects a target that fails all of its tasks after three failures', async () => {
		const {dispatcher, targetClient} = createFixture(
			targetFixture('fails'),
			targetFixture('works-1'),
			targetFixture('works-2'),
		);
		targetClient.answer = ({name}) =>
			name === 'fails' ? {kind: 'failed', message: '', ranMs: 1} : completed;
		const verdicts: string[] = [];
		for (let index = 0; index < 60; index += 1) {
			// eslint-disable-next-line no-await-in-loop -- one job after the other
			const {verdict} = await dispatcher.dispatch(
				requestFixture(`job-${index}`),
			);
			verdicts.push(verdict);
		}

		expect(verdicts.filter((verdict) => verdict === 'failed').length).toBe(3);
	});

	it('refuses a job that fits on no target, and any job without targets', () => {
		const {dispatcher} = createFixture(targetFixture('one'));
		const request = requestFixture('job', 1, {accelerators: 1});
		expect(dispatcher.checkAdmission(request, Date.now())?.code).toBe(
			'cannot-fit',
		);
		expect(
			createFixture().dispatcher.checkAdmission(
				requestFixture('job'),
				Date.now(),
			)?.code,
		).toBe('no-targets');
	});

	it('removes the waiting tasks of a cancelled job from the queue at once', async () => {
		const {dispatcher, targetClient} = createFixture(targetFixture('one', 1));
		const large = dispatcher.dispatch(requestFixture('large', 1000));
		expect(dispatcher.waitingTasks).toBe(999);
		dispatcher.cancel('large', createRefusal('cancelled', 'by the caller'));
		await expect(large).resolves.toMatchObject({verdict: 'may-have-run'});
		expect(dispatcher.waitingTasks).toBe(0);
		expect(targetClient.cancelled).toEqual(['large.0']);
	});

	it('reuses the slot of a cancelled task only after the target has answered the cancellation', async () => {
		const {dispatcher, targetClient} = createFixture(targetFixture('one', 1));
		let answerCancellation = (): void => undefined;
		targetClient.cancelAnswered = new Promise((resolve) => {
			answerCancellation = resolve;
		});
		const cancelled = dispatcher.dispatch(requestFixture('cancelled'));
		void dispatcher.dispatch(requestFixture('next'));
		dispatcher.cancel('cancelled', createRefusal('cancelled', 'by the caller'));
		await cancelled;
		await new Promise(setImmediate);
		expect(targetClient.sent).toHaveLength(1);
		answerCancellation();
		await vi.waitUntil(() => targetClient.sent.length === 2);
		expect(targetClient.sent[1]?.task.taskIdentifier).toBe('next.0');
	});

	describe('with all slots busy', () => {
		afterEach(() => {
			vi.useRealTimers();
		});

		/** Creates a dispatcher whose only slot ran 30 tasks of 100 ms each and is taken by a task that does not end. */
		async function createBusyFixture() {
			vi.useFakeTimers();
			const busy = createFixture(targetFixture('one', 1));
			busy.targetClient.answer = () => completed;
			for (let index = 0; index < 30; index += 1) {
				// eslint-disable-next-line no-await-in-loop -- one job after the other
				await busy.dispatcher.dispatch(requestFixture(`learn-${index}`));
			}

			busy.targetClient.answer = () => undefined;
			void busy.dispatcher.dispatch(requestFixture('blocks'));
			return busy;
		}

		it('cancels a waiting job as soon as it can no longer end before its deadline', async () => {
			const {dispatcher, targetClient} = await createBusyFixture();
			const sentBefore = targetClient.sent.length;
			const answer = dispatcher.dispatch({
				...requestFixture('waits'),
				deadlineAtMs: Date.now() + 500,
			});
			await vi.advanceTimersByTimeAsync(450);
			await expect(answer).resolves.toMatchObject({
				verdict: 'not-run',
				refusal: {code: 'deadline-impossible'},
			});
			expect(dispatcher.waitingTasks).toBe(0);
			expect(targetClient.sent).toHaveLength(sentBefore);
		});

		it('refuses a job on arrival if the backlog would delay it beyond its deadline', async () => {
			const {dispatcher} = await createBusyFixture();
			void dispatcher.dispatch(requestFixture('queue', 100));
			const request = {
				...requestFixture('late'),
				deadlineAtMs: Date.now() + 5000,
			};
			expect(dispatcher.checkAdmission(request, Date.now())).toBeUndefined();
			for (let index = 0; index < 100; index += 1) {
				void dispatcher.dispatch(requestFixture(`small-${index}`));
			}

			const reason = dispatcher.checkAdmission(request, Date.now());
			expect(reason?.code).toBe('overloaded');
			expect(reason?.retryAfterMs).toBeGreaterThan(1000);
			const impossible = {...request, deadlineAtMs: Date.now() + 50};
			expect(dispatcher.checkAdmission(impossible, Date.now())?.code).toBe(
				'deadline-impossible',
			);
		});
	});
});
