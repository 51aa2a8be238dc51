/** The OpenAPI description of the callers' interface, made from the schemas that check its requests. */
import {
	jobAnswerSchema,
	jobSchema,
	refusalCodeSchema,
	submissionStateSchema,
} from '@verbenarouter/core';
import {z} from 'zod';
import {reservationSchema} from './caller-server.js';
import {statusOf} from './status-code.js';

/* eslint-disable @typescript-eslint/naming-convention -- paths, statuses and media types are names of properties here */

type JsonObject = Readonly<Record<string, unknown>>;

const statusAnswerSchema = z.object({
	state: submissionStateSchema,
	answer: jobAnswerSchema.optional(),
});
const reservationAnswerSchema = z.object({identifiers: z.array(z.string())});

const schemas = {
	Reservation: {schema: reservationSchema, io: 'input'},
	ReservationAnswer: {schema: reservationAnswerSchema, io: 'output'},
	Job: {schema: jobSchema, io: 'input'},
	JobAnswer: {schema: jobAnswerSchema, io: 'output'},
	StatusAnswer: {schema: statusAnswerSchema, io: 'output'},
} as const;

type SchemaName = keyof typeof schemas;

/** The description as an OpenAPI 3.1 document. */
export function openApiDocument(): JsonObject {
	return {
		openapi: '3.1.0',
		info: {
			title: 'verbenarouter, callers’ interface',
			version: '1',
			description:
				'Reserve an identifier, then submit the job under it. A copy of the request under the same identifier never starts a task twice.',
		},
		security: [{bearer: []}],
		components: {
			schemas: componentSchemas(),
			securitySchemes: {bearer: {type: 'http', scheme: 'bearer'}},
		},
		paths: {
			'/v1/identifiers': {
				post: {
					summary: 'Reserve identifiers for submissions of the caller’s team.',
					requestBody: body('Reservation'),
					responses: {
						200: answer('The identifiers', 'ReservationAnswer'),
						...refusals(),
					},
				},
			},
			'/v1/jobs/{identifier}': {
				parameters: [
					{
						name: 'identifier',
						in: 'path',
						required: true,
						schema: {type: 'string'},
					},
				],
				put: {
					summary: 'Submit a job and wait for its answer.',
					requestBody: body('Job'),
					responses: {
						200: answer('The whole answer', 'JobAnswer'),
						...refusals(),
					},
				},
				get: {
					summary: 'Ask what became of a submission.',
					responses: {
						200: answer('Where the submission stands', 'StatusAnswer'),
						...refusals(),
					},
				},
				delete: {
					summary: 'Cancel a submission. The answer is final.',
					responses: {
						200: answer('The job had completed', 'JobAnswer'),
						...refusals(),
					},
				},
			},
			'/healthz': {
				get: {
					security: [],
					summary: 'Whether the process answers.',
					responses: plain(),
				},
			},
			'/readyz': {
				get: {
					security: [],
					summary: 'Whether the balancer is to send callers here.',
					responses: plain(),
				},
			},
		},
	};
}

function refusals(): JsonObject {
	const statusesOfCodes = refusalCodeSchema.options.map((code) => ({
		code,
		status: statusOf({
			identifier: '',
			verdict: 'not-run',
			refusal: {code, message: ''},
		}),
	}));
	const statuses = [...new Set(statusesOfCodes.map(({status}) => status))];
	return Object.fromEntries(
		statuses.map((status) => {
			const codes = statusesOfCodes
				.filter((other) => other.status === status)
				.map(({code}) => code);
			return [
				String(status),
				answer(`Refusal: ${codes.join(', ')}`, 'JobAnswer'),
			];
		}),
	);
}

function plain(): JsonObject {
	return {200: {description: 'Yes'}, 503: {description: 'No'}};
}

function body(name: SchemaName): JsonObject {
	return {required: true, content: reference(name)};
}

function answer(description: string, name: SchemaName): JsonObject {
	return {description, content: reference(name)};
}

function reference(name: SchemaName): JsonObject {
	return {'application/json': {schema: {$ref: `#/components/schemas/${name}`}}};
}

function componentSchemas(): JsonObject {
	return Object.fromEntries(
		Object.entries(schemas).map(([name, {schema, io}]) => {
			const {$schema: _, ...described} = z.toJSONSchema(schema, {
				io,
				override({zodSchema, jsonSchema}) {
					// A read-only type of TypeScript is no read-only property of OpenAPI.
					delete jsonSchema.readOnly;
					if (zodSchema._zod.def.type === 'lazy') {
						delete jsonSchema.anyOf;
					}
				},
			});
			// With an identifier of its own, a schema's references stay within it.
			return [name, {$id: name, ...described}];
		}),
	);
}

/* eslint-enable @typescript-eslint/naming-convention */
