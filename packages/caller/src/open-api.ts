import {
	jobAnswerSchema,
	jobSchema,
	refusalCodeSchema,
	submissionStateSchema,
} from '@verbenarouter/core';
import {z} from 'zod';
import {reservationSchema} from './caller-server.js';
import {toHttpStatus} from './status-code.js';

/* eslint-disable @typescript-eslint/naming-convention -- paths, status codes and media types are property names here */

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

/** Builds the OpenAPI 3.1 document of the callers' interface from the schemas that validate its requests. */
export function buildOpenApiDocument(): JsonObject {
	return {
		openapi: '3.1.0',
		info: {
			title: 'verbenarouter, callers’ interface',
			version: '1',
			description:
				'Reserve an identifier, then submit the job under it. Submitting the same job again under the same identifier never starts a task twice.',
		},
		security: [{bearer: []}],
		components: {
			schemas: buildComponentSchemas(),
			securitySchemes: {bearer: {type: 'http', scheme: 'bearer'}},
		},
		paths: {
			'/v1/identifiers': {
				post: {
					summary: 'Reserve identifiers for submissions of the caller’s team.',
					requestBody: describeBody('Reservation'),
					responses: {
						200: describeAnswer(
							'The reserved identifiers',
							'ReservationAnswer',
						),
						...describeRefusals(),
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
					requestBody: describeBody('Job'),
					responses: {
						200: describeAnswer('The answer of the completed job', 'JobAnswer'),
						...describeRefusals(),
					},
				},
				get: {
					summary: 'Get the state of a submission.',
					responses: {
						200: describeAnswer(
							'The state of the submission, with its answer once there is one',
							'StatusAnswer',
						),
						...describeRefusals(),
					},
				},
				delete: {
					summary: 'Cancel a submission and get its final answer.',
					responses: {
						200: describeAnswer(
							'The job had completed before it was cancelled',
							'JobAnswer',
						),
						...describeRefusals(),
					},
				},
			},
			'/healthz': {
				get: {
					security: [],
					summary: 'Whether the process is alive.',
					responses: describeProbeResponses(),
				},
			},
			'/readyz': {
				get: {
					security: [],
					summary:
						'Whether the load balancer should route callers to this entry VM.',
					responses: describeProbeResponses(),
				},
			},
		},
	};
}

function describeRefusals(): JsonObject {
	const codesWithStatus = refusalCodeSchema.options.map((code) => ({
		code,
		status: toHttpStatus({
			identifier: '',
			verdict: 'not-run',
			refusal: {code, message: ''},
		}),
	}));
	const statuses = [...new Set(codesWithStatus.map(({status}) => status))];
	return Object.fromEntries(
		statuses.map((status) => {
			const codes = codesWithStatus
				.filter((other) => other.status === status)
				.map(({code}) => code);
			return [
				String(status),
				describeAnswer(`Refusal: ${codes.join(', ')}`, 'JobAnswer'),
			];
		}),
	);
}

function describeProbeResponses(): JsonObject {
	return {200: {description: 'Yes'}, 503: {description: 'No'}};
}

function describeBody(name: SchemaName): JsonObject {
	return {required: true, content: createSchemaReference(name)};
}

function describeAnswer(description: string, name: SchemaName): JsonObject {
	return {description, content: createSchemaReference(name)};
}

function createSchemaReference(name: SchemaName): JsonObject {
	return {'application/json': {schema: {$ref: `#/components/schemas/${name}`}}};
}

function buildComponentSchemas(): JsonObject {
	return Object.fromEntries(
		Object.entries(schemas).map(([name, {schema, io}]) => {
			const {$schema: _, ...described} = z.toJSONSchema(schema, {
				io,
				override({zodSchema, jsonSchema}) {
					// `readonly` in TypeScript means immutable; `readOnly` in OpenAPI means that requests should not send the property.
					delete jsonSchema.readOnly;
					if (zodSchema._zod.def.type === 'lazy') {
						delete jsonSchema.anyOf;
					}
				},
			});
			// Each schema has its own `$id`, so that the references inside it resolve within it.
			return [name, {$id: name, ...described}];
		}),
	);
}

/* eslint-enable @typescript-eslint/naming-convention */
