import {describe, expect, it} from 'vitest';
import {storyOf} from '../pool/job-story.js';

const id = '00000000000000aa';

function line(
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

describe('story of a job', () => {
	it('is in order of time over several files, with the cause', () => {
		const story = storyOf(
			id,
			[
				line(5, 'answered', {
					answer: 'not-run',
					reason: 'overloaded',
					tookMs: 2,
				}),
				'another program writes this',
				line(4, 'received'),
				line(4, 'refused', {reason: 'overloaded'}),
			].join('\n'),
		);
		expect(story.lines.map(({event}) => event)).toEqual([
			'received',
			'refused',
			'answered',
		]);
		expect(story.cause).toBe('not-run after 2 ms: overloaded');
	});

	it('names runs that did not end well and other leaders', () => {
		const story = storyOf(
			id,
			[
				line(1, 'run-ended', {worker: 'w1', reason: 'lapsed'}),
				line(2, 'admitted', {reason: 'resubmitted', entryVm: 'entry-2'}),
				line(3, 'answered', {answer: 'completed', reason: '', tookMs: 900}),
			].join('\n'),
		);
		expect(story.cause).toBe(
			'completed after 900 ms; run on w1 lapsed; went to another leader, entry-2',
		);
	});

	it('names the inputs of a refusal, and the slowest run of a late job', () => {
		const refused = storyOf(
			id,
			[
				line(1, 'refused', {
					reason: 'overloaded',
					inputs: {waitMs: 180, slackMs: 177, waitingJobs: 71},
				}),
				line(2, 'answered', {
					answer: 'not-run',
					reason: 'overloaded',
					tookMs: 2,
				}),
			].join('\n'),
		);
		expect(refused.cause).toBe(
			'not-run after 2 ms: overloaded; its last task would have started in 180 ms, 177 ms were left, 71 jobs waited',
		);
		const late = storyOf(
			id,
			[
				line(1, 'placed', {inputs: {waitedMs: 40}}),
				line(2, 'run-ended', {
					reason: 'done',
					worker: 'w1',
					inputs: {ranMs: 806, expectedMs: 219},
				}),
				line(3, 'answered', {answer: 'completed', reason: '', tookMs: 850}),
			].join('\n'),
		);
		expect(late.cause).toBe(
			'completed after 850 ms; last task started after 40 ms, longest run 806 ms where 219 ms were expected, on w1',
		);
	});

	it('says that the entry VM started anew before it answered', () => {
		const story = storyOf(
			id,
			[
				line(1, 'starting', {id: undefined}),
				line(2, 'received'),
				line(4, 'starting', {id: undefined}),
			].join('\n'),
		);
		expect(story.cause).toBe(
			'no answer was given: entry-1 ended without a stop, and started anew at 2026-09-06T22:51:04.000Z',
		);
	});

	it('counts lines that are cut off, and says so when nothing is known', () => {
		const cut = line(1, 'received', {queue: 'plans'}).slice(0, -5);
		expect(storyOf(id, cut)).toMatchObject({lines: [], unreadableCount: 1});
		expect(storyOf('unknown', cut).cause).toContain('no line names this job');
		expect(storyOf(id, line(1, 'received')).cause).toContain(
			'no answer was given',
		);
	});
});
