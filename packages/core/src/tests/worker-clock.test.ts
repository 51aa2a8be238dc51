import {describe, expect, it} from 'vitest';
import {PoolWorker} from '../pool-worker.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

describe('the estimate of a worker’s clock', () => {
	it('stays right after an answer that was read late, so that a start on that worker has its whole lease', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.tickUntil(startMs + 20, startMs + 240);
		fixture.receiveReport('w1', startMs + 240, {clockMs: startMs + 40});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 240);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.starts[0]!.leaseExpiresAtMs).toBeGreaterThan(startMs + 1230);
	});

	it.each([0, 0.005, 0.02])(
		'is never ahead of a clock that is slow by %d when an answer is read, whatever the delays',
		(driftRatio) => {
			const worker = new PoolWorker(workerFixture('w1'));
			const delaysMs = [3, 460, 1, 90, 2, 700, 4, 1];
			for (let index = 0; index < 200; index += 1) {
				const answeredAtMs = startMs + index * 400;
				const readAtMs = answeredAtMs + delaysMs[index % delaysMs.length]!;
				worker.sampleClock(
					Math.floor(answeredAtMs * (1 - driftRatio)),
					1,
					readAtMs,
				);
				const aheadMs =
					worker.estimateClockMs(readAtMs)! - readAtMs * (1 - driftRatio);
				expect(aheadMs).toBeLessThanOrEqual(0);
			}
		},
	);

	it('follows the clock of a new process, also if that is behind', () => {
		const worker = new PoolWorker(workerFixture('w1'));
		worker.sampleClock(500_000, 1, startMs);
		expect(worker.sampleClock(200, 2, startMs + 10)).toBe(true);
		expect(worker.estimateClockMs(startMs + 10)).toBe(200);
	});
});
