import {type EvacuationChange} from '@verbenarouter/core';
import {type KeyedRecord} from './store-client.js';

/** Start of the keys that ask for the evacuation of a zone; the zone's name follows. */
const keyPrefix = 'evacuate/';

/** The operator's requests to evacuate zones among the records of a topic. */
export type EvacuationRecords = {
	readonly changes: readonly EvacuationChange[];
	/** Keys of requests for zones that the installation does not have. */
	readonly unknownKeys: readonly string[];
};

/**
 * Finds the requests to evacuate zones. The existence of a record is the request, whatever its value; its deletion
 * withdraws it.
 */
export function decodeEvacuations(
	records: readonly KeyedRecord[],
	zones: readonly string[],
): EvacuationRecords {
	const requests = records
		.filter(({key}) => key.startsWith(keyPrefix))
		.map(({key, value}) => ({
			key,
			zone: key.slice(keyPrefix.length),
			isEvacuated: value !== undefined,
		}));
	return {
		changes: requests
			.filter(({zone}) => zones.includes(zone))
			.map(({zone, isEvacuated}) => ({zone, isEvacuated})),
		unknownKeys: requests
			.filter(({zone}) => !zones.includes(zone))
			.map(({key}) => key),
	};
}
