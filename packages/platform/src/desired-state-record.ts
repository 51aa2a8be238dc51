/** The operator's record of the desired state, decoded. The store takes only valid ones. */
import {type DesiredState, type QueueSetting} from '@verbenarouter/core';
import {
	asRecord,
	listField,
	numberField,
	parseRecord,
	textField,
} from './decode.js';

const defaultAttempts = 1;
const defaultStretch = 1;
const defaultBodyBytes = 262_144;
const defaultHeaderBytes = 16_384;
const defaultHeaderTimeoutMs = 3000;
const defaultIdleTimeoutMs = 15_000;

/** Decodes the desired state; `undefined` when the record has no version or no list of queues. */
export function decodeDesiredState(text: string): DesiredState | undefined {
	const record = parseRecord(text);
	const version =
		record === undefined ? undefined : numberField(record, 'version');
	if (record === undefined || version === undefined) {
		return undefined;
	}

	const limits = asRecord(record.limits) ?? {};
	return {
		version,
		queues: listField(record, 'routes').flatMap((route) =>
			decodeQueue(asRecord(route)),
		),
		services: listField(record, 'services').flatMap((service) => {
			const name = textField(asRecord(service) ?? {}, 'name');
			return name === undefined ? [] : [name];
		}),
		limits: {
			bodyBytes:
				numberField(limits, 'maxBodyBytes', defaultBodyBytes) ??
				defaultBodyBytes,
			headerBytes:
				numberField(limits, 'maxHeaderBytes', defaultHeaderBytes) ??
				defaultHeaderBytes,
			headerTimeoutMs:
				numberField(limits, 'headerTimeoutMs', defaultHeaderTimeoutMs) ??
				defaultHeaderTimeoutMs,
			idleTimeoutMs:
				numberField(limits, 'idleTimeoutMs', defaultIdleTimeoutMs) ??
				defaultIdleTimeoutMs,
		},
	};
}

function decodeQueue(
	route: Readonly<Record<string, unknown>> | undefined,
): readonly QueueSetting[] {
	const name = route === undefined ? undefined : textField(route, 'name');
	const service = route === undefined ? undefined : textField(route, 'service');
	if (route === undefined || name === undefined || service === undefined) {
		return [];
	}

	return [
		{
			name,
			service,
			host: textField(route, 'host') ?? '',
			pathPrefix: textField(route, 'pathPrefix') ?? '/',
			priority: numberField(route, 'priority', 0) ?? 0,
			mostAttempts:
				numberField(route, 'maxAttempts', defaultAttempts) ?? defaultAttempts,
			stretch: numberField(route, 'stretch', defaultStretch) ?? defaultStretch,
			// The platform's `targetLatencyMs` comes on top of the stretched run time; it is not the whole objective.
			latencyMs: numberField(route, 'targetLatencyMs', 0) ?? 0,
		},
	];
}
