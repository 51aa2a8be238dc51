import {describe, expect, it} from 'vitest';
import {JobRun} from '../job-run.js';
import {type TaskOutcome} from '../task-outcome.js';
import {refusal} from '../verdict.js';

const completed: TaskOutcome = {kind: 'completed', output: 1, ranMs: 1};
const notStarted: TaskOutcome = {
	kind: 'not-started',
	reason: 'full',
	message: '',
	retryAfterMs: 0,
};
const unknown: TaskOutcome = {kind: 'unknown', reason: 'timeout', message: ''};
const cancelled = refusal('cancelled', 'The caller cancelled the job.');

function verdictAfter(steps: (run: JobRun) => void): string | undefined {
	const run = new JobRun('identifier', 3);
	steps(run);
	run.giveUp(cancelled);
	return run.answer?.verdict;
}

describe('JobRun', () => {
	it('says "not run" only while no task is, or may have been, at a target', () => {
		expect([
			verdictAfter(() => undefined),
			verdictAfter((run) => {
				run.taskSent(0);
				run.taskEnded(0, notStarted);
			}),
			verdictAfter((run) => {
				run.taskSent(0);
			}),
			verdictAfter((run) => {
				run.taskSent(0);
				run.taskEnded(0, unknown);
			}),
			verdictAfter((run) => {
				run.taskSent(0);
				run.taskEnded(0, completed);
			}),
		]).toEqual([
			'not-run',
			'not-run',
			'may-have-run',
			'may-have-run',
			'failed',
		]);
	});

	it('gives one answer, whole or none', () => {
		const run = new JobRun('identifier', 2);
		run.taskSent(0);
		run.taskSent(1);
		expect(run.inFlightCount).toBe(2);
		run.taskEnded(1, {...completed, output: 'b'});
		expect(run.answer).toBeUndefined();
		run.taskEnded(0, {...completed, output: 'a'});
		run.giveUp(cancelled);
		expect(run.answer).toEqual({
			identifier: 'identifier',
			verdict: 'completed',
			outputs: ['a', 'b'],
		});
	});
});
