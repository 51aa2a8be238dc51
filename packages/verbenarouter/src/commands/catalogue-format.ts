import {
	type CatalogueStatus,
	type EditVerdict,
	type EntryVmState,
} from '@verbenarouter/operator';
import {type PastEdit, type RevisedItem} from '@verbenarouter/core';

/** Response body of the operator API that reports at which entry VMs a revision is in force. */
export type InForceAnswer = {
	readonly revision: number;
	readonly isInForceEverywhere: boolean;
	readonly entryVms: readonly EntryVmState[];
};

/** Formats all items, one per line. */
export function formatItems({
	items,
}: {
	readonly items: readonly RevisedItem[];
}): string {
	return items
		.map(({revision, item}) =>
			[
				String(revision).padStart(8),
				item.kind.padEnd(5),
				item.name,
				item.kind === 'entry' ? `owner ${item.owner}` : `role ${item.role}`,
			].join('  '),
		)
		.join('\n');
}

/** Formats one item as a file that the `put` command accepts. */
export function formatItem({revision, item}: RevisedItem): string {
	return `// revision ${revision}\n${JSON.stringify(item, undefined, '\t')}`;
}

/** Formats the latest changes of one item, one per line, in the given order. */
export function formatHistory({
	history,
}: {
	readonly history: readonly PastEdit[];
}): string {
	return history
		.map(({revision, author, writtenAtMs, editId, item}) =>
			[
				String(revision).padStart(8),
				new Date(writtenAtMs).toISOString(),
				author,
				item === null ? 'deleted' : 'written',
				`edit ${editId}`,
			].join('  '),
		)
		.join('\n');
}

/** Formats the verdict on an edit. */
export function formatVerdict(verdict: EditVerdict): string {
	return verdict.code === 'accepted'
		? `accepted as revision ${verdict.revision} (edit ${verdict.editId})`
		: `${verdict.code} (edit ${verdict.editId})`;
}

/** Formats the freshness of an entry VM's catalogue, or the entry VMs at which a revision is in force. */
export function formatStatus(answer: CatalogueStatus | InForceAnswer): string {
	if (!('entryVms' in answer)) {
		const {entryVm, zone, state, source, nextOffset, ageMs} = answer;
		return `${entryVm} (${zone}): ${state}, up to revision ${nextOffset}, from ${source}, ${formatAge(ageMs)}`;
	}

	return [
		`revision ${answer.revision} is ${answer.isInForceEverywhere ? '' : 'not '}known to be in force everywhere`,
		...answer.entryVms.map(
			({entryVm, zone, inForce, ageMs}) =>
				`  ${inForce.padEnd(7)}  ${entryVm} (${zone}), ${formatAge(ageMs)}`,
		),
	].join('\n');
}

function formatAge(ageMs: number | undefined): string {
	return ageMs === undefined
		? 'age unknown'
		: `known to be current ${ageMs} ms ago`;
}
