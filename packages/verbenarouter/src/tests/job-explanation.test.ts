import {describe, expect, it} from 'vitest';
import {explainJob} from '../pool/job-explanation.js';

const id = '00000000000000aa';

function createLine(
	seconds: number,
	event: string,
	fields: Readonly<Record<string, unknown>> = {},
): string {
	return JSON.stringify({
		time: `2026-09-06T22:51:${String(seconds).padStart(2, '0')}.000Z`,
		entryVm: 'entry-1',
		event,
		id,
		...fields,
	});
}

describe('explainJob', () => {
	it('sorts the lines by time and summarizes the outcome', () => {
		const explanation = explainJob(
			id,
			[
				createLine(5, 'answered', {
					answer: 'not-run',
					reason: 'overloaded',
					tookMs: 2,
				}),
				'line of another program',
				createLine(4, 'received'),
				createLine(4, 'refused', {reason: 'overloaded'}),
			].join('\n'),
		);
		expect(explanation.lines.map(({event}) => event)).toEqual([
			'received',
			'refused',
			'answered',
		]);
		expect(explanation.summary).toBe('not-run after 2 ms: overloaded');
	});

	it('reports runs that did not complete and resubmissions to another leader', () => {
		const explanation = explainJob(
			id,
			[
				createLine(1, 'run-ended', {worker: 'w1', reason: 'lapsed'}),
				createLine(2, 'admitted', {reason: 'resubmitted', entryVm: 'entry-2'}),
				createLine(3, 'answered', {
					answer: 'completed',
					reason: '',
					tookMs: 900,
				}),
			].join('\n'),
		);
		expect(explanation.summary).toBe(
			'completed after 900 ms; run on w1 ended: lapsed; resubmitted to leader entry-2',
		);
	});

	it('reports the task and the cause of each run that was lost with its worker', () => {
		const explanation = explainJob(
			id,
			[
				createLine(1, 'run-ended', {
					worker: 'w1',
					task: `${id}.0.0.0`,
					reason: 'lapsed',
					inputs: {cause: 'crashed', otherRuns: 2},
				}),
				createLine(2, 'answered', {
					answer: 'may-have-run',
					reason: 'workers-crashed',
					tookMs: 1300,
				}),
			].join('\n'),
		);
		expect(explanation.summary).toBe(
			`may-have-run after 1300 ms: workers-crashed; run on w1 ended: lapsed (task ${id}.0.0.0, worker crashed, 2 other runs)`,
		);
	});

	it('reports the inputs of a refusal and the longest run of a late job', () => {
		const refused = explainJob(
			id,
			[
				createLine(1, 'refused', {
					reason: 'overloaded',
					inputs: {waitMs: 180, slackMs: 177, waitingJobs: 71},
				}),
				createLine(2, 'answered', {
					answer: 'not-run',
					reason: 'overloaded',
					tookMs: 2,
				}),
			].join('\n'),
		);
		expect(refused.summary).toBe(
			'not-run after 2 ms: overloaded; its last task would have started in 180 ms but had to start within 177 ms, with 71 unfinished jobs',
		);
		const late = explainJob(
			id,
			[
				createLine(1, 'placed', {inputs: {waitedMs: 40}}),
				createLine(2, 'run-ended', {
					reason: 'done',
					worker: 'w1',
					inputs: {ranMs: 806, expectedMs: 219},
				}),
				createLine(3, 'answered', {
					answer: 'completed',
					reason: '',
					tookMs: 850,
				}),
			].join('\n'),
		);
		expect(late.summary).toBe(
			'completed after 850 ms; last task started after 40 ms; longest run took 806 ms (219 ms expected) on w1',
		);
	});

	it('reports that the entry VM restarted before it answered', () => {
		const explanation = explainJob(
			id,
			[
				createLine(1, 'starting', {id: undefined}),
				createLine(2, 'received'),
				createLine(4, 'starting', {id: undefined}),
			].join('\n'),
		);
		expect(explanation.summary).toBe(
			'no answer was logged: entry-1 ended without a graceful stop and restarted at 2026-09-06T22:51:04.000Z',
		);
	});

	it('counts truncated lines and reports missing log lines and answers', () => {
		const truncated = createLine(1, 'received', {queue: 'plans'}).slice(0, -5);
		expect(explainJob(id, truncated)).toMatchObject({
			lines: [],
			unreadableCount: 1,
		});
		expect(explainJob('unknown', truncated).summary).toContain(
			'no log line has this job identifier',
		);
		expect(explainJob(id, createLine(1, 'received')).summary).toContain(
			'no answer was logged',
		);
	});
});
