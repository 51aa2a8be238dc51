/** A caller's job on the platform's interface, decoded, and answers to it, encoded. */
import {
	type PoolAnswer,
	type PoolJob,
	type PoolTask,
	type QueueSetting,
} from '@verbenarouter/core';
import {err, ok, type Result} from 'neverthrow';
import {
	asRecord,
	listField,
	numberField,
	parseRecord,
	textField,
} from './decode.js';
import {decodeResources} from './worker-record.js';

/** Why the body of a request is no job that can be run here. */
export type JobProblem = {
	readonly kind: 'malformed' | 'unsupported';
	/** Names the field. */
	readonly message: string;
};

const mostTasks = 10_000;
const longestSpec = 4000;

/** Fields of a step that ask for what this version does not do, with what their values mean. */
const unsupportedStepFields = [
	'dependsOn',
	'gang',
	'sameRack',
	'requirements',
	'antiAffinity',
	'longRunning',
	'targetMs',
	'fills',
	'mayMiss',
] as const;

/** Decodes the body of a submission. */
export function decodeJob(
	id: string,
	queue: QueueSetting,
	text: string,
	patienceMs: number,
): Result<Omit<PoolJob, 'attempt'>, JobProblem> {
	const record = parseRecord(text);
	if (record === undefined) {
		return problem('malformed', 'the body is not a JSON object');
	}

	const spec = textField(record, 'spec') ?? '';
	if (spec.length > longestSpec) {
		return problem('malformed', `spec: over ${longestSpec} characters`);
	}

	// `bestEffort` means that the job is kept in memory only and answered when it has ended.
	if (record.bestEffort !== true) {
		return problem('unsupported', 'bestEffort: only true is supported');
	}

	if ((numberField(record, 'repetitions', 0) ?? 0) > 0) {
		return problem('unsupported', 'repetitions: not supported');
	}

	const steps = listField(record, 'steps').map((step) => asRecord(step));
	if (steps.length === 0 || steps.includes(undefined)) {
		return problem('malformed', 'steps: must be a list of objects');
	}

	const tasks: PoolTask[] = [];
	for (const [index, step] of steps.entries()) {
		const decoded = decodeStep(id, index, step ?? {});
		if (decoded.isErr()) {
			return err(decoded.error);
		}

		tasks.push(...decoded.value);
	}

	return tasks.length > mostTasks
		? problem('malformed', `steps: over ${mostTasks} tasks`)
		: ok({id, queue: queue.name, spec, tasks, waitedMs: 0, patienceMs});
}

function decodeStep(
	id: string,
	index: number,
	step: Readonly<Record<string, unknown>>,
): Result<readonly PoolTask[], JobProblem> {
	const unsupported = unsupportedStepFields.find((name) => isSet(step[name]));
	if (unsupported !== undefined) {
		return problem(
			'unsupported',
			`steps[${index}].${unsupported}: not supported`,
		);
	}

	const needs = decodeResources(step);
	const count = numberField(step, 'count', 1);
	const declaredMs = numberField(step, 'estimatedMs', 0);
	if (
		needs === undefined ||
		count === undefined ||
		!Number.isInteger(count) ||
		count > mostTasks ||
		declaredMs === undefined
	) {
		return problem(
			'malformed',
			`steps[${index}]: count, cpu, memMb, gpu and estimatedMs must be numbers of at least 0`,
		);
	}

	// `affinity` names the rack where the task's data is.
	const rack = textField(step, 'affinity');
	return ok(
		Array.from({length: Math.max(1, count)}, (_, task) => ({
			name: `${id}.0.${index}.${task}`,
			needs,
			declaredMs,
			...(rack === undefined || rack === '' ? {} : {rack}),
		})),
	);
}

function isSet(value: unknown): boolean {
	return !(
		value === undefined ||
		value === null ||
		value === false ||
		value === 0 ||
		value === '' ||
		(Array.isArray(value) && value.length === 0)
	);
}

function problem(
	kind: JobProblem['kind'],
	message: string,
): Result<never, JobProblem> {
	return err({kind, message});
}

/** An answer as the platform's interface says it. */
export type EncodedAnswer = {
	readonly status: number;
	readonly body: string;
	readonly retryAfterMs?: number;
};

/** Encodes the answer to a submission. Callers send a job again after 502 and 504, and never after 429 and 503. */
export function encodeAnswer(answer: PoolAnswer): EncodedAnswer {
	switch (answer.kind) {
		case 'completed': {
			return {status: 200, body: '{"state":"completed"}'};
		}

		case 'failed': {
			return {status: 200, body: '{"state":"failed"}'};
		}

		case 'cancelled': {
			return {status: 200, body: '{"state":"cancelled"}'};
		}

		case 'not-run': {
			return {
				status: notRunStatus(answer.reason),
				body: JSON.stringify({error: `not run: ${answer.reason}`}),
				...(answer.retryAfterMs === undefined
					? {}
					: {retryAfterMs: answer.retryAfterMs}),
			};
		}

		case 'may-have-run': {
			return {
				status: answer.reason === 'deadline-exceeded' ? 504 : 502,
				body: JSON.stringify({error: `may have run: ${answer.reason}`}),
			};
		}
	}
}

function notRunStatus(
	reason: Extract<PoolAnswer, {kind: 'not-run'}>['reason'],
): number {
	switch (reason) {
		case 'queue-unknown': {
			return 404;
		}

		case 'overloaded': {
			return 429;
		}

		case 'deadline-impossible':
		case 'no-workers':
		case 'cannot-fit':
		case 'unsupported':
		case 'not-ready':
		case 'caller-left': {
			return 503;
		}
	}
}
