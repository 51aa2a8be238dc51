import {describe, expect, it} from 'vitest';
import {ArrivalOrder} from '../pool-queue.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const start = 100_000;

describe('overload', () => {
	/** Plays 2 s of a load of 1.5 times the pool's capacity on ideal workers, and counts the jobs in time by queue. */
	function playOverload(
		order?: ArrivalOrder,
	): Readonly<Record<string, number>> {
		const fixture = new SchedulerFixture(['zone-a'], order);
		const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerFixture(id));
		fixture.lead(workers, start);
		const inTime: Record<string, number> = {};
		const arrivals = new Map<
			string,
			{readonly queue: string; readonly atMs: number}
		>();
		const live = new Map<
			string,
			{readonly endMs: number; readonly worker: string}
		>();
		const endNumbers = new Map<string, number>();
		let seenStarts = 0;
		let seenAnswers = 0;
		for (let now = start; now < start + 2600; now += 10) {
			if (now < start + 2000 && now % 30 === 0) {
				const queue = now % 60 === 0 ? 'macro-check' : 'plan-rebuild';
				const id = `j${now}`;
				arrivals.set(id, {queue, atMs: now});
				const runMs = queue === 'macro-check' ? 60 : 300;
				fixture.scheduler.submit(
					poolJobFixture(id, 2, {queue, runMs}),
					'r1',
					false,
					now,
				);
			}

			for (const order_ of fixture.starts.slice(seenStarts)) {
				const {queue} = arrivals.get(order_.task.split('.')[0]!)!;
				live.set(order_.task, {
					endMs: now + (queue === 'macro-check' ? 60 : 300),
					worker: order_.worker.id,
				});
			}

			seenStarts = fixture.starts.length;
			for (const {id} of workers) {
				const ended = [...live].filter(
					([, run]) => run.worker === id && run.endMs <= now,
				);
				for (const [task] of ended) {
					live.delete(task);
				}

				let number = endNumbers.get(id) ?? 0;
				const listed = ended.map(([task]) => {
					number += 1;
					return {number, task, run: 1, how: 'done' as const};
				});
				endNumbers.set(id, number);
				const running = [...live]
					.filter(([, run]) => run.worker === id)
					.map(([task]) => ({task, run: 1}));
				fixture.report(id, now, {running, ended: listed});
			}

			fixture.scheduler.tick(now);
			for (const {id, answer} of fixture.answers.slice(seenAnswers)) {
				const {queue, atMs} = arrivals.get(id)!;
				const objectiveMs = 1.6 * (queue === 'macro-check' ? 60 : 300) + 60;
				if (answer.kind === 'completed' && now - atMs <= objectiveMs) {
					inTime[queue] = (inTime[queue] ?? 0) + 1;
				}
			}

			seenAnswers = fixture.answers.length;
		}

		return inTime;
	}

	it('serves more callers in time than first come, first served, and urgent ones first', () => {
		const own = playOverload();
		const baseline = playOverload(new ArrivalOrder());
		const total = (counts: Readonly<Record<string, number>>) =>
			Object.values(counts).reduce((sum, count) => sum + count, 0);
		expect(total(own)).toBeGreaterThanOrEqual(total(baseline));
		expect(own['macro-check']).toBeGreaterThan(baseline['macro-check'] ?? 0);
	});

	it('refuses at once, with the time to come back, what cannot start in time', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(
			poolJobFixture('long', 2, {runMs: 3000, patienceMs: 9000}),
			'r1',
			false,
			start,
		);
		fixture.scheduler.submit(poolJobFixture('short'), 'r1', false, start + 1);
		expect(fixture.answers[0]).toMatchObject({
			id: 'short',
			answer: {kind: 'not-run', reason: 'overloaded'},
		});
		const {answer} = fixture.answers[0]!;
		expect('retryAfterMs' in answer && answer.retryAfterMs).toBe(2999);
	});
});
