import {type JobAnswer, type RefusalCode} from '@verbenarouter/core';

const statusByRefusalCode: Readonly<Record<RefusalCode, number>> = {
	'bad-request': 400,
	unauthenticated: 401,
	forbidden: 403,
	'entry-unknown': 404,
	'identifier-unknown': 404,
	'identifier-expired': 410,
	'identifier-reused': 409,
	'answer-expired': 410,
	'too-large': 413,
	'deadline-passed': 504,
	'deadline-impossible': 503,
	'deadline-exceeded': 504,
	'cannot-fit': 422,
	'quota-exhausted': 429,
	overloaded: 503,
	'no-targets': 503,
	stopping: 503,
	'not-ready': 503,
	'owner-unreachable': 503,
	'owner-gone': 502,
	'owner-silent': 504,
	'task-failed': 502,
	'task-lost': 504,
	cancelled: 409,
	internal: 500,
};

/** Returns the HTTP status code of a job's answer: 200 without a refusal, else the status of the refusal's code. */
export function toHttpStatus(answer: JobAnswer): number {
	return answer.refusal === undefined
		? 200
		: statusByRefusalCode[answer.refusal.code];
}
