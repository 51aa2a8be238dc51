import {type Resources} from './pool-job.js';

/** Returns the kind and size of a worker: its first label and its processor capacity in thousandths of a core. */
export function kindOf({
	labels,
	capacity,
}: {
	readonly labels: readonly string[];
	readonly capacity: Pick<Resources, 'processorMillis'>;
}): string {
	return `${labels[0] ?? ''}/${capacity.processorMillis}`;
}
