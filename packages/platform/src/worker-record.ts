/** A worker's record in the platform's store, decoded. Records of other writers may be anything. */
import {type Resources, type WorkerEntry} from '@verbenarouter/core';
import {
	asRecord,
	listField,
	numberField,
	parseRecord,
	textField,
} from './decode.js';

/** Decodes a worker's record; `undefined` when it names no worker that can be used. */
export function decodeWorker(
	id: string,
	text: string,
): WorkerEntry | undefined {
	const record = parseRecord(text);
	if (record === undefined) {
		return undefined;
	}

	const service = textField(record, 'service');
	const address = textField(record, 'address');
	const zone = textField(record, 'zone');
	const state = textField(record, 'state');
	const capacity = decodeResources(asRecord(record.capacity));
	const bornMs = numberField(record, 'born', 0);
	if (
		service === undefined ||
		address === undefined ||
		zone === undefined ||
		(state !== 'ready' && state !== 'draining') ||
		capacity === undefined ||
		bornMs === undefined ||
		!/^[^:\s]+:\d{1,5}$/v.test(address)
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
		labels: listField(record, 'labels').filter(
			(label) => typeof label === 'string',
		),
	};
}

/** Decodes an amount of resources; fields that are 0 may be left out. */
export function decodeResources(
	record: Readonly<Record<string, unknown>> | undefined,
): Resources | undefined {
	if (record === undefined) {
		return undefined;
	}

	// The platform's `cpu` is in thousandths of a core.
	const processorMillis = numberField(record, 'cpu', 0);
	const memoryMb = numberField(record, 'memMb', 0);
	const accelerators = numberField(record, 'gpu', 0);
	return processorMillis === undefined ||
		memoryMb === undefined ||
		accelerators === undefined
		? undefined
		: {processorMillis, memoryMb, accelerators};
}
