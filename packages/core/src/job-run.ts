/** The progress of one job that has been admitted: which tasks may start, and what the caller is told in the end. */
import {type JobAnswer, type JsonValue} from './job.js';
import {type TaskOutcome} from './task-outcome.js';
import {refusal, type Refusal, type Verdict} from './verdict.js';

type TaskState = 'queued' | 'in-flight' | 'completed' | 'failed' | 'unknown';

/** One job on its way. It settles once; what its tasks report afterwards changes nothing. */
export class JobRun {
	readonly #states: TaskState[];
	readonly #outputs: JsonValue[];
	readonly #counts: Record<TaskState, number>;
	#answer: JobAnswer | undefined;

	constructor(
		readonly identifier: string,
		taskCount: number,
	) {
		this.#states = Array.from<TaskState>({length: taskCount}).fill('queued');
		this.#counts = {
			queued: taskCount,
			'in-flight': 0,
			completed: 0,
			failed: 0,
			unknown: 0,
		};
		this.#outputs = Array.from<JsonValue>({length: taskCount}).fill(null);
	}

	/** The one answer, once there is one. */
	get answer(): JobAnswer | undefined {
		return this.#answer;
	}

	/** Tasks that are at a target now. */
	get inFlightCount(): number {
		return this.#counts['in-flight'];
	}

	/** Whether this task may be sent now. */
	mayStart(index: number): boolean {
		return this.#answer === undefined && this.#states[index] === 'queued';
	}

	/** Records that a task is about to be sent. */
	taskSent(index: number): void {
		this.#move(index, 'in-flight');
	}

	/** Records the outcome of a task. A task that surely did not start is queued again. */
	taskEnded(index: number, outcome: TaskOutcome): void {
		if (outcome.kind === 'not-started') {
			this.#move(index, 'queued');
			return;
		}

		this.#move(index, outcome.kind);
		if (this.#answer !== undefined) {
			return;
		}

		if (outcome.kind === 'completed') {
			this.#outputs[index] = outcome.output;
			if (this.#counts.completed === this.#states.length) {
				this.#answer = {
					identifier: this.identifier,
					verdict: 'completed',
					outputs: this.#outputs,
				};
			}

			return;
		}

		this.giveUp(
			outcome.kind === 'failed'
				? refusal('task-failed', `Task ${index} failed: ${outcome.message}`)
				: refusal(
						'task-lost',
						`Task ${index} may have run; its answer is lost: ${outcome.message}`,
					),
		);
	}

	/** Ends the job without an answer. No further task starts; those in flight are to be cancelled. */
	giveUp(reason: Refusal): void {
		this.#answer ??= {
			identifier: this.identifier,
			verdict: this.#verdictWithoutAnswer(),
			refusal: reason,
		};
	}

	#move(index: number, state: TaskState): void {
		const earlier = this.#states[index];
		if (earlier !== undefined) {
			this.#counts[earlier] -= 1;
			this.#counts[state] += 1;
			this.#states[index] = state;
		}
	}

	#verdictWithoutAnswer(): Verdict {
		const {completed, failed, unknown, 'in-flight': inFlight} = this.#counts;
		if (completed + failed > 0) {
			return 'failed';
		}

		return inFlight + unknown > 0 ? 'may-have-run' : 'not-run';
	}
}
