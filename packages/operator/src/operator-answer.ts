import {type ValidationIssue} from '@verbenarouter/core';
import {type FastifyReply} from 'fastify';
import {type z} from 'zod';
import {type EditVerdict} from './catalogue-editor.js';

/** Value of the `retry-after` header in answers with status 503. */
const retryAfterSeconds = 5;

const statusByVerdict: Readonly<Record<EditVerdict['code'], number>> = {
	accepted: 200,
	conflict: 409,
	'not-written': 503,
	'may-have-taken-effect': 503,
};

/** Sends an error with a stable code and a message. */
export async function sendError(
	reply: FastifyReply,
	status: number,
	code: string,
	message: string,
): Promise<FastifyReply> {
	if (status === 503) {
		void reply.header('retry-after', retryAfterSeconds);
	}

	return reply.code(status).send({code, message});
}

/** Rejects the whole request with status 400 and lists every validation issue under `faults`. */
export async function sendValidationIssues(
	reply: FastifyReply,
	issues: readonly ValidationIssue[],
): Promise<FastifyReply> {
	return reply.code(400).send({
		code: 'bad-request',
		message: 'The request is invalid, and nothing was changed.',
		faults: issues,
	});
}

/** Sends the verdict on an edit. */
export async function sendVerdict(
	reply: FastifyReply,
	verdict: EditVerdict,
): Promise<FastifyReply> {
	const status = statusByVerdict[verdict.code];
	if (status === 503) {
		void reply.header('retry-after', retryAfterSeconds);
	}

	if (verdict.code === 'accepted') {
		void reply.header('etag', `"${verdict.revision}"`);
	}

	return reply.code(status).send(verdict);
}

/** Converts the issues of a schema validation; `prefix` is the path of the field that holds the validated value. */
export function toValidationIssues(
	error: z.ZodError,
	prefix?: string,
): readonly ValidationIssue[] {
	return error.issues.map(({path, message}) => ({
		path: [...(prefix === undefined ? [] : [prefix]), ...path].join('.'),
		message,
	}));
}
