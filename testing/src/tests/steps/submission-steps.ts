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

/** Behaviours of the target stand-in as the feature files word them. */
const behaviourPattern = 'complete|hold|fail|are silent|are crossed';

/** The tasks of a job as a feature file describes them. */
type TaskGroup = {
	readonly taskCount: number;
	readonly behave: string;
	readonly deadlineMs: number | undefined;
	/** The one task, by index, that has another behaviour. */
	readonly exception:
		{readonly index: number; readonly behave: string} | undefined;
};

defineParameterType({
	name: 'tasks',
	regexp: new RegExp(
		`(\\d+) tasks? that (${behaviourPattern})s?(?:, with a deadline of (\\d+) ms)?(?:, except task (\\d+), which behaves like tasks that (${behaviourPattern}))?`,
		'v',
	),
	transformer: (
		...[count, behave, deadline, index, other]: ReadonlyArray<
			string | undefined
		>
	): TaskGroup => ({
		taskCount: Number(count),
		behave: parseBehaviour(behave),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		exception:
			index === undefined
				? undefined
				: {index: Number(index), behave: parseBehaviour(other)},
	}),
});
defineParameterType({
	name: 'verdict',
	regexp: /completed|failed|not-run|may-have-run/v,
	transformer: (text) => text as JobAnswer['verdict'],
});

function parseBehaviour(text = 'complete'): string {
	return text.replace('are ', '');
}

given(
	'a job {string} of {tasks}, reserved at {word}',
	async function (
		this: Scenario,
		name: string,
		{taskCount, behave, deadlineMs, exception}: TaskGroup,
		entryVm: string,
	) {
		const [identifier = ''] = await this.caller.reserve(
			this.findProcess(entryVm),
		);
		this.jobs.set(name, {
			identifier,
			taskCount,
			pendingAnswers: [],
			request: {
				entry: 'order',
				tasks: Array.from({length: taskCount}, (_, index) => ({
					input: {
						behave: index === exception?.index ? exception.behave : behave,
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
		const {pendingAnswers, identifier, request} = this.findJob(name);
		pendingAnswers.push(
			this.caller.submit(this.findProcess(entryVm), identifier, request),
		);
	},
);

when(
	'{string} is submitted at {word} by a caller that disconnects once all tasks have started',
	async function (this: Scenario, name: string, entryVm: string) {
		const {identifier, request, taskCount} = this.findJob(name);
		const caller = new AbortController();
		const answer = this.caller.submit(
			this.findProcess(entryVm),
			identifier,
			request,
			caller.signal,
		);
		const disconnected = assert.rejects(answer);
		await this.waitUntilStarted(name, taskCount);
		caller.abort();
		await disconnected;
	},
);

when(
	'{string} is submitted at {word} by another team',
	function (this: Scenario, name: string, entryVm: string) {
		const {identifier, request, taskCount} = this.findJob(name);
		this.jobs.set(`${name} of another team`, {
			identifier,
			request,
			taskCount,
			pendingAnswers: [
				new Caller('kruidhof').submit(
					this.findProcess(entryVm),
					identifier,
					request,
				),
			],
		});
	},
);

when(
	'{string} is cancelled at {word}',
	async function (this: Scenario, name: string, entryVm: string) {
		const {pendingAnswers, identifier} = this.findJob(name);
		const answer = this.caller.cancel(this.findProcess(entryVm), identifier);
		pendingAnswers.push(answer);
		await answer;
	},
);

when(
	'{int} task(s) of {string} has/have started',
	async function (this: Scenario, count: number, name: string) {
		await this.waitUntilStarted(name, count);
	},
);

when('the held tasks are released', async function (this: Scenario) {
	await this.installation.releaseTasks();
});

when(
	'every request for {string} has been answered',
	async function (this: Scenario, name: string) {
		await this.collectAnswers(name);
	},
);

then(
	'every answer to {string} is {verdict}',
	async function (this: Scenario, name: string, verdict: JobAnswer['verdict']) {
		const answers = await this.collectAnswers(name);
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
		const answers = await this.collectAnswers(name);
		const last = answers.at(-1);
		assert.equal(last?.verdict, verdict, JSON.stringify(last?.refusal));
	},
);

then(
	'every answer to {string} has the outputs of all its tasks in order',
	async function (this: Scenario, name: string) {
		const {identifier, taskCount} = this.findJob(name);
		const answers = await this.collectAnswers(name);
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
	'no answer to {string} has outputs',
	async function (this: Scenario, name: string) {
		const answers = await this.collectAnswers(name);
		assert.ok(answers.length > 0);
		assert.ok(answers.every(({outputs}) => outputs === undefined));
	},
);

then(
	'each task of {string} has started exactly once',
	async function (this: Scenario, name: string) {
		const starts = await this.countStarts(name);
		assert.deepEqual(
			starts,
			starts.map(() => 1),
		);
	},
);

then(
	'no task of {string} has started more than once',
	async function (this: Scenario, name: string) {
		const starts = await this.countStarts(name);
		assert.ok(
			starts.every((times) => times <= 1),
			starts.join(' '),
		);
	},
);

then(
	'no task of {string} has started',
	async function (this: Scenario, name: string) {
		const starts = await this.countStarts(name);
		assert.ok(
			starts.every((times) => times === 0),
			starts.join(' '),
		);
	},
);

then(
	'fewer than {int} tasks of {string} have started',
	async function (this: Scenario, count: number, name: string) {
		const starts = await this.countStarts(name);
		assert.ok(starts.filter((times) => times > 0).length < count);
	},
);

then(
	'the targets have stopped every task of {string} that was running',
	async function (this: Scenario, name: string) {
		const {identifier} = this.findJob(name);
		await waitUntil(async () => {
			const {stopped} = await this.installation.fetchAllTargetRecords();
			const starts = await this.countStarts(name);
			const started = starts.filter((times) => times > 0).length;
			return (
				stopped.filter((task) => task.startsWith(identifier)).length === started
			);
		});
	},
);
