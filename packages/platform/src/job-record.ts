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
	nonNegativeField,
	parseJsonObject,
	stringField,
} from './decode.js';
import {decodeResources} from './worker-record.js';

/** Why the body of a request cannot be decoded as a job. */
export type JobDecodeError = {
	readonly kind: 'malformed' | 'unsupported';
	/** Names the invalid or unsupported field, if there is one. */
	readonly message: string;
};

/** Maximum number of tasks of a job. */
const maxTasks = 10_000;
/** Largest amount of a resource and longest estimate in milliseconds; entry VMs refuse larger ones from each other. */
const maxAmount = 1e9;
/** Maximum length of a job's spec, in UTF-16 code units. */
const maxSpecLength = 4000;

/** Fields of a step that request features that the dispatcher does not support. */
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

/**
 * Decodes the body of a submission to a queue. `patienceMs` is the time for which the caller waits in total, in
 * milliseconds.
 */
export function decodeJob(
	id: string,
	queue: QueueSetting,
	text: string,
	patienceMs: number,
): Result<Omit<PoolJob, 'attempt'>, JobDecodeError> {
	const record = parseJsonObject(text);
	if (record === undefined) {
		return decodeError('malformed', 'the body is not a JSON object');
	}

	const spec = stringField(record, 'spec') ?? '';
	if (spec.length > maxSpecLength) {
		return decodeError('malformed', `spec: over ${maxSpecLength} characters`);
	}

	// `bestEffort` requests that the job is kept in memory only and answered when it has ended.
	if (record.bestEffort !== true) {
		return decodeError('unsupported', 'bestEffort: only true is supported');
	}

	if ((nonNegativeField(record, 'repetitions', 0) ?? 0) > 0) {
		return decodeError('unsupported', 'repetitions: not supported');
	}

	const steps = listField(record, 'steps').map((step) => asRecord(step));
	if (steps.length === 0 || steps.includes(undefined)) {
		return decodeError('malformed', 'steps: must be a list of objects');
	}

	const tasks: PoolTask[] = [];
	for (const [index, step] of steps.entries()) {
		const decoded = decodeStep(id, index, step ?? {});
		if (decoded.isErr()) {
			return err(decoded.error);
		}

		// Checked for each step: a small body may ask for more tasks than there is memory.
		if (tasks.length + decoded.value.length > maxTasks) {
			return decodeError('malformed', `steps: over ${maxTasks} tasks`);
		}

		tasks.push(...decoded.value);
	}

	return ok({id, queue: queue.name, spec, tasks, waitedMs: 0, patienceMs});
}

function decodeStep(
	id: string,
	stepIndex: number,
	step: Readonly<Record<string, unknown>>,
): Result<readonly PoolTask[], JobDecodeError> {
	const unsupportedField = unsupportedStepFields.find((name) =>
		isSet(step[name]),
	);
	if (unsupportedField !== undefined) {
		return decodeError(
			'unsupported',
			`steps[${stepIndex}].${unsupportedField}: not supported`,
		);
	}

	const resources = decodeResources(step);
	const count = nonNegativeField(step, 'count', 1);
	const declaredMs = nonNegativeField(step, 'estimatedMs', 0);
	if (
		resources === undefined ||
		count === undefined ||
		!Number.isInteger(count) ||
		count > maxTasks ||
		declaredMs === undefined ||
		[declaredMs, ...Object.values(resources)].some(
			(amount) => amount > maxAmount,
		)
	) {
		return decodeError(
			'malformed',
			`steps[${stepIndex}]: count, cpu, memMb, gpu and estimatedMs must be numbers from 0 to ${maxAmount}`,
		);
	}

	// The platform's `affinity` field names the rack that holds the task's data.
	const rack = stringField(step, 'affinity');
	return ok(
		Array.from({length: Math.max(1, count)}, (_, taskIndex) => ({
			name: `${id}.0.${stepIndex}.${taskIndex}`,
			needs: resources,
			declaredMs,
			...(rack === undefined || rack === '' ? {} : {rack}),
		})),
	);
}

/** Whether an optional field has a value other than its default. */
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

function decodeError(
	kind: JobDecodeError['kind'],
	message: string,
): Result<never, JobDecodeError> {
	return err({kind, message});
}

/** An HTTP response of the platform's interface for callers. */
export type EncodedResponse = {
	readonly status: number;
	readonly body: string;
	readonly retryAfterMs?: number;
};

/** Encodes the answer to a submission. Callers resubmit a job after 502 and 504, and never after 429 and 503. */
export function encodeAnswer(answer: PoolAnswer): EncodedResponse {
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
				status: notRunHttpStatus(answer.reason),
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

function notRunHttpStatus(
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
