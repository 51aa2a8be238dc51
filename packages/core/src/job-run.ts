import {type JobAnswer, type JsonValue} from './job.js';
import {type TaskOutcome} from './task-outcome.js';
import {createRefusal, type Refusal, type Verdict} from './verdict.js';

type TaskState = 'queued' | 'in-flight' | 'completed' | 'failed' | 'unknown';

/** Tracks the tasks of one admitted job and builds its answer. A job settles once; later outcomes leave it unchanged. */
export class JobRun {
	readonly #taskStates: TaskState[];
	readonly #outputs: JsonValue[];
	readonly #counts: Record<TaskState, number>;
	#answer: JobAnswer | undefined;

	constructor(
		readonly identifier: string,
		taskCount: number,
	) {
		this.#taskStates = Array.from<TaskState>({length: taskCount}).fill(
			'queued',
		);
		this.#counts = {
			queued: taskCount,
			'in-flight': 0,
			completed: 0,
			failed: 0,
			unknown: 0,
		};
		this.#outputs = Array.from<JsonValue>({length: taskCount}).fill(null);
	}

	/** The final answer, or `undefined` until the job settles. */
	get answer(): JobAnswer | undefined {
		return this.#answer;
	}

	/** Number of tasks that have been sent to a target and have no outcome yet. */
	get inFlightCount(): number {
		return this.#counts['in-flight'];
	}

	/** Whether the task is queued and the job has not settled. */
	canStart(index: number): boolean {
		return this.#answer === undefined && this.#taskStates[index] === 'queued';
	}

	/** Marks a task as in flight; call before it is sent. */
	recordSent(index: number): void {
		this.#setState(index, 'in-flight');
	}

	/** Records the outcome of a task. A task with the outcome `not-started` returns to the queue. */
	recordOutcome(index: number, outcome: TaskOutcome): void {
		if (outcome.kind === 'not-started') {
			this.#setState(index, 'queued');
			return;
		}

		this.#setState(index, outcome.kind);
		if (this.#answer !== undefined) {
			return;
		}

		if (outcome.kind === 'completed') {
			this.#outputs[index] = outcome.output;
			if (this.#counts.completed === this.#taskStates.length) {
				this.#answer = {
					identifier: this.identifier,
					verdict: 'completed',
					outputs: this.#outputs,
				};
			}

			return;
		}

		this.settleWithRefusal(
			outcome.kind === 'failed'
				? createRefusal(
						'task-failed',
						`Task ${index} failed: ${outcome.message}`,
					)
				: createRefusal(
						'task-lost',
						`Task ${index} may have run, but its answer was lost: ${outcome.message}`,
					),
		);
	}

	/**
	 * Settles the job without outputs, unless it has settled. No further task can start, but the dispatcher has to cancel
	 * the tasks in flight.
	 */
	settleWithRefusal(reason: Refusal): void {
		this.#answer ??= {
			identifier: this.identifier,
			verdict: this.#verdictWithoutOutputs(),
			refusal: reason,
		};
	}

	#setState(index: number, state: TaskState): void {
		const previous = this.#taskStates[index];
		if (previous !== undefined) {
			this.#counts[previous] -= 1;
			this.#counts[state] += 1;
			this.#taskStates[index] = state;
		}
	}

	#verdictWithoutOutputs(): Verdict {
		const {completed, failed, unknown, 'in-flight': inFlight} = this.#counts;
		if (completed + failed > 0) {
			return 'failed';
		}

		return inFlight + unknown > 0 ? 'may-have-run' : 'not-run';
	}
}
