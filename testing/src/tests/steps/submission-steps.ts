/** Steps of callers: reserving, submitting, cancelling, and what the answers have to be. */
import assert from 'node:assert/strict';
import {
	Given as given,
	Then as then,
	When as when,
	defineParameterType,
} from '@cucumber/cucumber';
import {type JobAnswer} from '@verbenarouter/core';
import {Caller, waitUntil} from '../../installation.js';
import {type Scenario} from './scenario.js';

const behaviours = 'complete|hold|fail|are silent|are crossed';

type JobText = {
	readonly taskCount: number;
	readonly behave: string;
	readonly deadlineMs: number | undefined;
	/** The one task that behaves otherwise. */
	readonly other: {readonly index: number; readonly behave: string} | undefined;
};

defineParameterType({
	name: 'tasks',
	regexp: new RegExp(
		`(\\d+) tasks? that (${behaviours})(?: within (\\d+) ms)?(?: but for number (\\d+), which has to (${behaviours}))?`,
		'v',
	),
	transformer: (
		...[count, behave, deadline, index, other]: ReadonlyArray<
			string | undefined
		>
	): JobText => ({
		taskCount: Number(count),
		behave: behaviourOf(behave),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		other:
			index === undefined
				? undefined
				: {index: Number(index), behave: behaviourOf(other)},
	}),
});
defineParameterType({
	name: 'verdict',
	regexp: /completed|failed|not-run|may-have-run/v,
	transformer: (text) => text as JobAnswer['verdict'],
});

function behaviourOf(text = 'complete'): string {
	return text.replace('are ', '');
}

given(
	'the job {string} of {tasks}, reserved at {word}',
	async function (
		this: Scenario,
		name: string,
		{taskCount, behave, deadlineMs, other}: JobText,
		entryVm: string,
	) {
		const [identifier = ''] = await this.caller.reserve(this.part(entryVm));
		this.jobs.set(name, {
			identifier,
			taskCount,
			copies: [],
			request: {
				entry: 'order',
				tasks: Array.from({length: taskCount}, (_, index) => ({
					input: {
						behave: index === other?.index ? other.behave : behave,
						value: `${name} ${index}`,
					},
				})),
				...(deadlineMs === undefined ? {} : {deadlineMs}),
			},
		});
	},
);

when(
	'{string} is submitted at {word}',
	function (this: Scenario, name: string, entryVm: string) {
		const {copies, identifier, request} = this.job(name);
		copies.push(this.caller.submit(this.part(entryVm), identifier, request));
	},
);

when(
	'{string} is submitted at {word} by a caller that goes away once it has started',
	async function (this: Scenario, name: string, entryVm: string) {
		const {identifier, request, taskCount} = this.job(name);
		const caller = new AbortController();
		const copy = this.caller.submit(
			this.part(entryVm),
			identifier,
			request,
			caller.signal,
		);
		const isGone = assert.rejects(copy);
		await this.untilStarted(name, taskCount);
		caller.abort();
		await isGone;
	},
);

when(
	'{string} is submitted at {word} by another team',
	function (this: Scenario, name: string, entryVm: string) {
		const {identifier, request, taskCount} = this.job(name);
		this.jobs.set(`${name} of another team`, {
			identifier,
			request,
			taskCount,
			copies: [
				new Caller('kruidhof').submit(this.part(entryVm), identifier, request),
			],
		});
	},
);

when(
	'{string} is cancelled at {word}',
	async function (this: Scenario, name: string, entryVm: string) {
		const {copies, identifier} = this.job(name);
		const copy = this.caller.cancel(this.part(entryVm), identifier);
		copies.push(copy);
		await copy;
	},
);

when(
	'{int} task(s) of {string} has/have started',
	async function (this: Scenario, count: number, name: string) {
		await this.untilStarted(name, count);
	},
);

when('the held tasks are released', async function (this: Scenario) {
	await this.installation.releaseTasks();
});

when(
	'all callers of {string} have their answers',
	async function (this: Scenario, name: string) {
		await this.answers(name);
	},
);

then(
	'every answer to {string} is {verdict}',
	async function (this: Scenario, name: string, verdict: JobAnswer['verdict']) {
		const answers = await this.answers(name);
		assert.ok(answers.length > 0);
		assert.deepEqual(
			answers.map((answer) => answer.verdict),
			answers.map(() => verdict),
			JSON.stringify(answers.map(({refusal}) => refusal)),
		);
		for (const {outputs} of answers) {
			assert.equal(outputs !== undefined, verdict === 'completed');
		}
	},
);

then(
	'the last answer to {string} is {verdict}',
	async function (this: Scenario, name: string, verdict: JobAnswer['verdict']) {
		const answers = await this.answers(name);
		const last = answers.at(-1);
		assert.equal(last?.verdict, verdict, JSON.stringify(last?.refusal));
	},
);

then(
	'every answer to {string} has the output of each of its tasks',
	async function (this: Scenario, name: string) {
		const {identifier, taskCount} = this.job(name);
		const answers = await this.answers(name);
		assert.ok(answers.length > 0);
		for (const {outputs} of answers) {
			assert.deepEqual(
				outputs,
				Array.from({length: taskCount}, (_, index) => ({
					task: `${identifier}.${index}`,
					value: `${name} ${index}`,
				})),
			);
		}
	},
);

then(
	'no answer to {string} has an output',
	async function (this: Scenario, name: string) {
		const answers = await this.answers(name);
		assert.ok(answers.length > 0);
		assert.ok(answers.every(({outputs}) => outputs === undefined));
	},
);

then(
	'each task of {string} has started once',
	async function (this: Scenario, name: string) {
		const starts = await this.startsOf(name);
		assert.deepEqual(
			starts,
			starts.map(() => 1),
		);
	},
);

then(
	'no task of {string} has started twice',
	async function (this: Scenario, name: string) {
		const starts = await this.startsOf(name);
		assert.ok(
			starts.every((times) => times <= 1),
			starts.join(' '),
		);
	},
);

then(
	'no task of {string} has started',
	async function (this: Scenario, name: string) {
		const starts = await this.startsOf(name);
		assert.ok(
			starts.every((times) => times === 0),
			starts.join(' '),
		);
	},
);

then(
	'fewer than {int} tasks of {string} have started',
	async function (this: Scenario, count: number, name: string) {
		const starts = await this.startsOf(name);
		assert.ok(starts.filter((times) => times > 0).length < count);
	},
);

then(
	'the targets have stopped every task of {string} that was running',
	async function (this: Scenario, name: string) {
		const {identifier} = this.job(name);
		await waitUntil(async () => {
			const {stopped} = await this.installation.fetchAllTargetRecords();
			const starts = await this.startsOf(name);
			const started = starts.filter((times) => times > 0).length;
			return (
				stopped.filter((task) => task.startsWith(identifier)).length === started
			);
		});
	},
);
