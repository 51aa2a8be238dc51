/** Answers of the operators' interface as text for people. */
import {
	type CatalogueStatus,
	type EditVerdict,
	type EntryVmState,
} from '@verbenarouter/operator';
import {type PastEdit, type RevisedItem} from '@verbenarouter/core';

/** Where a revision is in force. */
export type InForceAnswer = {
	readonly revision: number;
	readonly isInForceEverywhere: boolean;
	readonly entryVms: readonly EntryVmState[];
};

/** All items, one a line. */
export function describeItems({
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

/** One item, as `put` takes it. */
export function describeItem({revision, item}: RevisedItem): string {
	return `// revision ${revision}\n${JSON.stringify(item, undefined, '\t')}`;
}

/** The latest changes of one item, newest first. */
export function describeHistory({
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

/** What became of an edit. */
export function describeVerdict(verdict: EditVerdict): string {
	return verdict.code === 'accepted'
		? `accepted as revision ${verdict.revision} (edit ${verdict.editId})`
		: `${verdict.code} (edit ${verdict.editId})`;
}

/** How fresh an entry VM's catalogue is, or where a revision is in force. */
export function describeStatus(
	answer: CatalogueStatus | InForceAnswer,
): string {
	if (!('entryVms' in answer)) {
		const {entryVm, zone, state, source, nextOffset, ageMs} = answer;
		return `${entryVm} (${zone}): ${state}, up to revision ${nextOffset}, from ${source}, ${describeAge(ageMs)}`;
	}

	return [
		`revision ${answer.revision} is ${answer.isInForceEverywhere ? '' : 'not '}known to be in force everywhere`,
		...answer.entryVms.map(
			({entryVm, zone, inForce, ageMs}) =>
				`  ${inForce.padEnd(7)}  ${entryVm} (${zone}), ${describeAge(ageMs)}`,
		),
	].join('\n');
}

function describeAge(ageMs: number | undefined): string {
	return ageMs === undefined
		? 'age unknown'
		: `known to be current ${ageMs} ms ago`;
}
