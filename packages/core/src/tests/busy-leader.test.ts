import {describe, expect, it} from 'vitest';
import {ObjectiveOrder, type QueuedJob} from '../pool-queue.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
/** Time without a leader before it reads all messages that have come meanwhile. */
const outageMs = 900;
const loadMs = 3000;
const workerCount = 40;
const jobsPerSecond = 125;
const runMs = 200;
const objectiveMs = 1.6 * runMs + 60;
/** Processor time of a cold leader for a message, without what depends on the length of the queue. */
const messageCostMs = 0.5;
/** Processor time of a cold leader for each comparison of two waiting jobs, as a measure of a pass over the queue. */
const comparisonCostMs = 0.03;

type Message = {readonly atMs: number; readonly handle: (now: number) => void};

/** Counts how often waiting jobs are compared. */
class CountingOrder extends ObjectiveOrder {
	count = 0;

	override compare(left: QueuedJob, right: QueuedJob, now: number): number {
		this.count += 1;
		return super.compare(left, right, now);
	}
}

/** A run on a worker, and the number of its end among those of the worker. */
type SimulatedRun = {readonly worker: string; readonly endMs: number};

/**
 * Plays the first seconds of a leader whose processor is the bottleneck. It reads what has arrived, handles it and then reads
 * again, so that messages wait while it is busy. Returns the share of the jobs of each half second that are answered in time.
 */
function playFailover(isBatched: boolean): readonly number[] {
	const order = new CountingOrder();
	let isFlushRequested = false;
	const requestFlush = (): void => {
		isFlushRequested = true;
	};

	const fixture = new SchedulerFixture(
		['zone-a'],
		order,
		isBatched ? requestFlush : undefined,
	);
	const {scheduler} = fixture;
	const workers = Array.from({length: workerCount}, (_, index) =>
		workerFixture(`w${index}`),
	);
	const arrivals = new Map<string, number>(
		Array.from(
			{length: (jobsPerSecond * loadMs) / 1000},
			(_, index) =>
				[`j${index}`, startMs + (index * 1000) / jobsPerSecond] as const,
		),
	);
	const messages: Message[] = [...arrivals].map(([id, arrivedAtMs]) => ({
		atMs: Math.max(arrivedAtMs, startMs + outageMs),
		handle(now) {
			scheduler.submit(
				poolJobFixture(id, 2, {
					queue: 'window-confirm',
					runMs,
					waitedMs: now - arrivedAtMs,
				}),
				'r1',
				false,
				now,
			);
		},
	}));
	fixture.leadIdleWorkers(workers, startMs + outageMs);
	const runs = new Map<string, SimulatedRun>();
	const endNumbers = new Map<string, number>();
	let startCount = 0;
	let answerCount = 0;
	let tickedAtMs = startMs + outageMs;
	const inTimeIds = new Set<string>();
	let now = startMs + outageMs;
	while (now < startMs + loadMs + 1000) {
		const turnStartMs = now;
		const due = messages.filter(({atMs}) => atMs <= turnStartMs);
		messages.splice(
			0,
			messages.length,
			...messages.filter(({atMs}) => atMs > turnStartMs),
		);
		const countBefore = order.count;
		for (const {handle} of due) {
			handle(turnStartMs);
		}

		if (isFlushRequested) {
			isFlushRequested = false;
			scheduler.flush(turnStartMs);
		}

		if (turnStartMs - tickedAtMs >= 20) {
			tickedAtMs = turnStartMs;
			scheduler.tick(turnStartMs);
		}

		now +=
			1 +
			due.length * messageCostMs +
			(order.count - countBefore) * comparisonCostMs;
		for (const {task, worker} of fixture.starts.slice(startCount)) {
			const endMs = now + runMs;
			runs.set(task, {worker: worker.id, endMs});
			messages.push({
				atMs: endMs,
				handle(handledAtMs) {
					runs.delete(task);
					const number = (endNumbers.get(worker.id) ?? 0) + 1;
					endNumbers.set(worker.id, number);
					fixture.receiveReport(worker.id, handledAtMs, {
						running: [...runs]
							.filter(([, run]) => run.worker === worker.id)
							.map(([running]) => ({task: running, run: 1})),
						ended: [{number, task, run: 1, how: 'done'}],
					});
				},
			});
		}

		startCount = fixture.starts.length;
		for (const {id, answer} of fixture.answers.slice(answerCount)) {
			if (
				answer.kind === 'completed' &&
				now <= arrivals.get(id)! + objectiveMs
			) {
				inTimeIds.add(id);
			}
		}

		answerCount = fixture.answers.length;
	}

	return Array.from({length: loadMs / 500}, (_, index) => {
		const ids = [...arrivals]
			.filter(([, atMs]) => Math.floor((atMs - startMs) / 500) === index)
			.map(([id]) => id);
		return ids.filter((id) => inTimeIds.has(id)).length / ids.length;
	});
}

describe('a leader whose processor is busy after a failover', () => {
	it('answers all new callers in time within a second of its claim when it handles the messages of a turn together', () => {
		const shares = playFailover(true);
		expect(shares.slice(-2)).toEqual([1, 1]);
	});

	it('serves more callers in time than one that handles each message by itself', () => {
		const sum = (shares: readonly number[]) =>
			shares.reduce((total, share) => total + share, 0);
		expect(sum(playFailover(true))).toBeGreaterThan(sum(playFailover(false)));
	});
});
