import {type WorkerEntry} from '../pool-worker.js';
import {type SchedulerFixture} from './pool-fixtures.js';

/** Plays the workers of a scheduler under load: they start what they are told, without delays or failures, and report ends. */
export class SimulatedRuns {
	readonly #runs = new Map<
		string,
		{readonly worker: string; readonly endMs: number}
	>();

	readonly #endNumbers = new Map<string, number>();
	#startCount = 0;
	#answerCount = 0;

	/** `runMsOf` returns how long a task takes on a worker. */
	constructor(
		readonly fixture: SchedulerFixture,
		readonly workers: readonly WorkerEntry[],
		readonly runMsOf: (task: string, worker: string) => number,
	) {}

	/** Starts what was ordered since the last call, and reports the runs that have ended by now; also where reports are requested of all. */
	advance(now: number): void {
		const {fixture, workers} = this;
		for (const {task, worker} of fixture.starts.slice(this.#startCount)) {
			this.#runs.set(task, {
				worker: worker.id,
				endMs: now + this.runMsOf(task, worker.id),
			});
		}

		this.#startCount = fixture.starts.length;
		for (const {id} of workers) {
			const own = [...this.#runs].filter(([, {worker}]) => worker === id);
			const ended = own.filter(([, {endMs}]) => endMs <= now);
			for (const [task] of ended) {
				this.#runs.delete(task);
			}

			const isReportRequested =
				fixture.scheduler.pool.findWorker(id)?.isSynced === false;
			if (own.length > 0 || isReportRequested) {
				fixture.receiveReport(id, now, {
					running: own
						.filter(([, {endMs}]) => endMs > now)
						.map(([task]) => ({task, run: 1})),
					ended: ended.map(([task]) => {
						const number = (this.#endNumbers.get(id) ?? 0) + 1;
						this.#endNumbers.set(id, number);
						return {number, task, run: 1, how: 'done' as const};
					}),
				});
			}
		}

		if (now % 20 === 0) {
			fixture.scheduler.tick(now);
		}
	}

	/** Returns the answers that were sent since the last call. */
	takeAnswers(): SchedulerFixture['answers'] {
		const answers = this.fixture.answers.slice(this.#answerCount);
		this.#answerCount = this.fixture.answers.length;
		return answers;
	}
}
