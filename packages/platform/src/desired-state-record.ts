import {type DesiredState, type QueueSetting} from '@verbenarouter/core';
import {
	asRecord,
	listField,
	nonNegativeField,
	parseJsonObject,
	stringField,
} from './decode.js';

const defaultMaxAttempts = 1;
const defaultStretch = 1;
const defaultMaxBodyBytes = 262_144;
const defaultMaxHeaderBytes = 16_384;
const defaultHeaderTimeoutMs = 3000;
const defaultIdleTimeoutMs = 15_000;

/**
 * Decodes the operator's record of the desired state; `undefined` if it is not an object or has no version. Queues and
 * services without their required fields are skipped; the platform's store rejects invalid records.
 */
export function decodeDesiredState(text: string): DesiredState | undefined {
	const record = parseJsonObject(text);
	const version =
		record === undefined ? undefined : nonNegativeField(record, 'version');
	if (record === undefined || version === undefined) {
		return undefined;
	}

	const limits = asRecord(record.limits) ?? {};
	const services = listField(record, 'services').flatMap((service) => {
		const fields = asRecord(service) ?? {};
		const name = stringField(fields, 'name');
		return name === undefined
			? []
			: [{name, isUnguarded: fields.rejectsOverload === false}];
	});
	const unguardedServices = services
		.filter(({isUnguarded}) => isUnguarded)
		.map(({name}) => name);
	return {
		version,
		queues: listField(record, 'routes').flatMap((route) =>
			decodeQueue(asRecord(route)),
		),
		services: services.map(({name}) => name),
		...(unguardedServices.length > 0 ? {unguardedServices} : {}),
		limits: {
			bodyBytes:
				nonNegativeField(limits, 'maxBodyBytes', defaultMaxBodyBytes) ??
				defaultMaxBodyBytes,
			headerBytes:
				nonNegativeField(limits, 'maxHeaderBytes', defaultMaxHeaderBytes) ??
				defaultMaxHeaderBytes,
			headerTimeoutMs:
				nonNegativeField(limits, 'headerTimeoutMs', defaultHeaderTimeoutMs) ??
				defaultHeaderTimeoutMs,
			idleTimeoutMs:
				nonNegativeField(limits, 'idleTimeoutMs', defaultIdleTimeoutMs) ??
				defaultIdleTimeoutMs,
		},
	};
}

function decodeQueue(
	route: Readonly<Record<string, unknown>> | undefined,
): readonly QueueSetting[] {
	const name = route === undefined ? undefined : stringField(route, 'name');
	const service =
		route === undefined ? undefined : stringField(route, 'service');
	if (route === undefined || name === undefined || service === undefined) {
		return [];
	}

	return [
		{
			name,
			service,
			host: stringField(route, 'host') ?? '',
			pathPrefix: stringField(route, 'pathPrefix') ?? '/',
			priority: nonNegativeField(route, 'priority', 0) ?? 0,
			mostAttempts:
				nonNegativeField(route, 'maxAttempts', defaultMaxAttempts) ??
				defaultMaxAttempts,
			stretch:
				nonNegativeField(route, 'stretch', defaultStretch) ?? defaultStretch,
			// `targetLatencyMs` is the allowance beyond the stretched run time, not the whole latency objective.
			latencyMs: nonNegativeField(route, 'targetLatencyMs', 0) ?? 0,
		},
	];
}
