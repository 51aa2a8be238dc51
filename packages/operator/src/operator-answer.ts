/** Answers of the operators' interface. */
import {type ValidationIssue} from '@verbenarouter/core';
import {type FastifyReply} from 'fastify';
import {type z} from 'zod';
import {type EditVerdict} from './catalogue-editor.js';

/** Seconds after which to ask again when the platform does not answer. */
const retryAfterSeconds = 5;

const statusByVerdict: Readonly<Record<EditVerdict['code'], number>> = {
	accepted: 200,
	conflict: 409,
	'not-written': 503,
	'may-have-taken-effect': 503,
};

/** Sends a refusal with a stable code and a sentence. */
export async function sendProblem(
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

/** Refuses a request whole, with every fault. */
export async function sendFaults(
	reply: FastifyReply,
	faults: readonly ValidationIssue[],
): Promise<FastifyReply> {
	return reply.code(400).send({
		code: 'bad-request',
		message: 'The request has faults, and nothing was changed.',
		faults,
	});
}

/** Sends what became of an edit. */
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

/** The faults that a schema found; `prefix` is the field that holds the checked value. */
export function faultsOf(
	error: z.ZodError,
	prefix?: string,
): readonly ValidationIssue[] {
	return error.issues.map(({path, message}) => ({
		path: [...(prefix === undefined ? [] : [prefix]), ...path].join('.'),
		message,
	}));
}
