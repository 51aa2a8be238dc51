/** Faults of a change that a catalogue item's schema cannot see. */
import {
	type CatalogueItem,
	type Entry,
	type ItemKey,
} from './catalogue-entry.js';
import {type Catalogue} from './catalogue.js';

/** One fault of an item. */
export type ItemFault = {
	/** Dotted path of the field within the item; empty for the whole item. */
	readonly path: string;
	readonly message: string;
};

/** All faults of an item's new content beside the others of a catalogue. */
export function faultsOfItem(
	item: CatalogueItem,
	catalogue: Catalogue,
): readonly ItemFault[] {
	return item.kind === 'entry'
		? faultsOfEntry(item, catalogue)
		: catalogue.items.flatMap(({item: other}) =>
				other.kind === 'team' &&
				other.name !== item.name &&
				other.tokenHash === item.tokenHash
					? [
							{
								path: 'tokenHash',
								message: `is that of the team "${other.name}"; each team needs a token of its own`,
							},
						]
					: [],
			);
}

/** All faults of an item's deletion: an entry's owner and its teams have to stay. */
export function faultsOfDeletion(
	{kind, name}: ItemKey,
	catalogue: Catalogue,
): readonly ItemFault[] {
	return kind === 'entry'
		? []
		: catalogue.items.flatMap(({item}) =>
				item.kind === 'entry' &&
				(item.owner === name || item.teams?.includes(name))
					? [{path: '', message: `the entry "${item.name}" names this team`}]
					: [],
			);
}

function faultsOfEntry(entry: Entry, catalogue: Catalogue): ItemFault[] {
	const {owner, teams = [], limits} = entry;
	const unknownTeams = [
		{path: 'owner', name: owner},
		...teams.map((name, index) => ({path: `teams.${index}`, name})),
	].filter(({name}) => catalogue.team(name) === undefined);
	const {perTeam} = limits;
	return [
		...unknownTeams.map(({path, name}) => ({
			path,
			message: `the catalogue has no team "${name}"`,
		})),
		...(['concurrency', 'startsPerSecond'] as const)
			.filter(
				(field) => perTeam !== undefined && perTeam[field] > limits[field],
			)
			.map((field) => ({
				path: `limits.perTeam.${field}`,
				message: `must be at most limits.${field}, which is ${limits[field]}`,
			})),
	];
}
