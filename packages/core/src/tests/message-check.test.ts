import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {findMessageProblem} from '../message-check.js';
import {type PoolJob} from '../pool-job.js';
import {
	SchedulerFixture,
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

type Message = Readonly<Record<string, unknown>> & {readonly type: string};

const lostRun = {task: 'j2.0.0.1', run: 1, worker: 'w1', isSuspect: true};
const soundMessages: readonly Message[] = [
	{type: 'submit', job: poolJobFixture('j1', 2), isResubmitted: false},
	{
		type: 'submit',
		job: {
			...poolJobFixture('j2'),
			doneTasks: ['j2.0.0.0'],
			zones: ['zone-a'],
			refusingZones: 1,
			leaderToken: 9,
			earlierToken: 8,
			lostRuns: [lostRun],
		},
		isResubmitted: true,
	},
	{type: 'answer', id: 'j1', answer: {kind: 'completed'}},
	{
		type: 'answer',
		id: 'j1',
		answer: {kind: 'not-run', reason: 'overloaded', retryAfterMs: 1000},
	},
	{type: 'resubmit', id: 'j1'},
	{type: 'untouched', id: 'j1', attempt: 'entry/1'},
	{type: 'progress', id: 'j1', doneTasks: []},
	{type: 'lost-runs', lostRuns: [lostRun]},
	{type: 'caller-lost', id: 'j1'},
	{type: 'caller-returned', id: 'j1'},
	{type: 'cancelled-jobs', ids: ['j1']},
	{
		type: 'left-jobs',
		jobs: [{id: 'j1', earlierToken: 7, earlierGrantAgeMs: 400}],
	},
	{
		type: 'returnable-jobs',
		sequence: 1,
		held: ['j1'],
		ended: [{id: 'j2', answer: {kind: 'completed'}}, {id: 'j3'}],
	},
	{type: 'returnable-jobs-noted', sequence: 1},
	{type: 'cancel', id: 'j1', reason: 'moved'},
	{type: 'ask', question: 1, about: 'state', name: 'j1'},
	{type: 'reply', question: 1},
	{
		type: 'knowledge',
		knowledge: {
			state: desiredStateFixture(),
			workers: [workerFixture('w1', {coldMs: 3})],
			versions: {state: 1, workers: '1-5'},
			ageMs: 20,
		},
	},
	{type: 'hand-over', workers: [workerFixture('w1')]},
	{type: 'of-a-later-build', anything: [1]},
];

/** Paths to all fields of a message, at every depth. */
function listPaths(value: unknown): ReadonlyArray<readonly string[]> {
	return typeof value === 'object' && value !== null
		? Object.entries(value).flatMap(([key, child]) => [
				[key],
				...listPaths(child).map((path) => [key, ...path]),
			])
		: [];
}

/** Returns a copy of a message in which the field at a path has another value. */
function replaceAt(
	value: unknown,
	[key, ...rest]: readonly string[],
	replacement: unknown,
): unknown {
	if (key === undefined) {
		return replacement;
	}

	const fields = value as Readonly<Record<string, unknown>>;
	const child = replaceAt(fields[key], rest, replacement);
	return Array.isArray(value)
		? (value as readonly unknown[]).map((item, index) =>
				String(index) === key ? child : item,
			)
		: {...fields, [key]: child};
}

const absurdValues = fc.oneof(
	fc.constantFrom(
		null,
		undefined,
		'',
		-1,
		1e300,
		Number.NaN,
		[],
		{},
		[null],
		'x'.repeat(5000),
	),
	fc.jsonValue(),
);

describe('findMessageProblem', () => {
	it('accepts the messages of this build and of later ones', () => {
		expect(soundMessages.map((message) => findMessageProblem(message))).toEqual(
			soundMessages.map(() => undefined),
		);
	});

	it.each([
		['submit: job', {type: 'submit', job: null, isResubmitted: false}],
		['submit: isResubmitted', {type: 'submit', job: poolJobFixture('j1')}],
		[
			'submit: job',
			{
				type: 'submit',
				job: {...poolJobFixture('j1'), tasks: [{name: 'j1.0.0.0'}]},
				isResubmitted: false,
			},
		],
		['answer: answer', {type: 'answer', id: 'j1', answer: {kind: 'maybe'}}],
		['cancel: reason', {type: 'cancel', id: 'j1', reason: 'why not'}],
		['hand-over: workers', {type: 'hand-over', workers: 'all'}],
		['knowledge: knowledge', {type: 'knowledge'}],
	])('names %s', (problem, message) => {
		expect(findMessageProblem(message)).toBe(problem);
	});

	// A message without these checks ended the leader that received it.
	it('lets no submission through that the scheduler cannot handle', () => {
		const submissions = soundMessages.filter(({type}) => type === 'submit');
		const mutations = fc.constantFrom(
			...submissions.flatMap((message) =>
				listPaths(message)
					.filter(([first]) => first === 'job')
					.map((path) => ({message, path})),
			),
		);
		fc.assert(
			fc.property(mutations, absurdValues, ({message, path}, value) => {
				const changed = replaceAt(message, path, value) as Message;
				if (findMessageProblem(changed) !== undefined) {
					return;
				}

				const fixture = new SchedulerFixture();
				fixture.leadIdleWorkers([workerFixture('w1')], startMs);
				fixture.scheduler.submit(
					changed.job as PoolJob,
					'r1',
					changed.isResubmitted === true,
					startMs + 300,
				);
				fixture.tickUntil(startMs + 300, startMs + 400);
			}),
			{seed: 29, numRuns: 3000},
		);
	});
});
