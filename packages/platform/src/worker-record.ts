import {type Resources, type WorkerEntry} from '@verbenarouter/core';
import {
	asRecord,
	isHostAndPort,
	listField,
	nonNegativeField,
	parseJsonObject,
	stringField,
} from './decode.js';

/** Characters that the header with the identifier of a worker may have. */
const headerValuePattern = /^[\u0021-\u007E]+$/v;

/** Decodes a worker's record in the platform's store; `undefined` if it is invalid, as other programs write records too. */
export function decodeWorker(
	id: string,
	text: string,
): WorkerEntry | undefined {
	const record = parseJsonObject(text);
	if (record === undefined) {
		return undefined;
	}

	const service = stringField(record, 'service');
	const address = stringField(record, 'address');
	const zone = stringField(record, 'zone');
	const state = stringField(record, 'state');
	const capacity = decodeResources(asRecord(record.capacity));
	const bornMs = nonNegativeField(record, 'born', 0);
	const coldMs = nonNegativeField(record, 'coldRemainingMs', 0);
	if (
		service === undefined ||
		address === undefined ||
		zone === undefined ||
		(state !== 'ready' && state !== 'draining') ||
		capacity === undefined ||
		bornMs === undefined ||
		!isHostAndPort(address) ||
		!headerValuePattern.test(id)
	) {
		return undefined;
	}

	return {
		id,
		service,
		address,
		zone,
		state,
		capacity,
		bornMs,
		...(coldMs === undefined || coldMs === 0 ? {} : {coldMs}),
		labels: listField(record, 'labels').filter(
			(label) => typeof label === 'string',
		),
	};
}

/** Decodes an amount of resources, with 0 for missing fields; `undefined` if a field is invalid. */
export function decodeResources(
	record: Readonly<Record<string, unknown>> | undefined,
): Resources | undefined {
	if (record === undefined) {
		return undefined;
	}

	// The platform's `cpu` field is in thousandths of a core.
	const processorMillis = nonNegativeField(record, 'cpu', 0);
	const memoryMb = nonNegativeField(record, 'memMb', 0);
	const accelerators = nonNegativeField(record, 'gpu', 0);
	return processorMillis === undefined ||
		memoryMb === undefined ||
		accelerators === undefined
		? undefined
		: {processorMillis, memoryMb, accelerators};
}
