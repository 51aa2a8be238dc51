import {describe, expect, it} from 'vitest';
import {JobRun} from '../job-run.js';
import {type TaskOutcome} from '../task-outcome.js';
import {createRefusal} from '../verdict.js';

const completed: TaskOutcome = {kind: 'completed', output: 1, ranMs: 1};
const notStarted: TaskOutcome = {
	kind: 'not-started',
	reason: 'full',
	message: '',
	retryAfterMs: 0,
};
const unknown: TaskOutcome = {kind: 'unknown', reason: 'timeout', message: ''};
const cancelled = createRefusal('cancelled', 'The caller cancelled the job.');

function getVerdictAfter(steps: (run: JobRun) => void): string | undefined {
	const run = new JobRun('identifier', 3);
	steps(run);
	run.settleWithRefusal(cancelled);
	return run.answer?.verdict;
}

describe('JobRun', () => {
	it('settles as not-run only if no task is in flight, has run or may have run', () => {
		expect([
			getVerdictAfter(() => undefined),
			getVerdictAfter((run) => {
				run.recordSent(0);
				run.recordOutcome(0, notStarted);
			}),
			getVerdictAfter((run) => {
				run.recordSent(0);
			}),
			getVerdictAfter((run) => {
				run.recordSent(0);
				run.recordOutcome(0, unknown);
			}),
			getVerdictAfter((run) => {
				run.recordSent(0);
				run.recordOutcome(0, completed);
			}),
		]).toEqual([
			'not-run',
			'not-run',
			'may-have-run',
			'may-have-run',
			'failed',
		]);
	});

	it('settles as completed with all outputs in task order, and ignores a later refusal', () => {
		const run = new JobRun('identifier', 2);
		run.recordSent(0);
		run.recordSent(1);
		expect(run.inFlightCount).toBe(2);
		run.recordOutcome(1, {...completed, output: 'b'});
		expect(run.answer).toBeUndefined();
		run.recordOutcome(0, {...completed, output: 'a'});
		run.settleWithRefusal(cancelled);
		expect(run.answer).toEqual({
			identifier: 'identifier',
			verdict: 'completed',
			outputs: ['a', 'b'],
		});
	});
});
