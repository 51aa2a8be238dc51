import {
	type CatalogueItem,
	type Entry,
	type ItemKey,
} from './catalogue-item.js';
import {type Catalogue} from './catalogue.js';

/** A reason for which an edit of the catalogue is invalid. */
export type ValidationIssue = {
	/** Dotted path of the invalid field within the item, or an empty string for the whole item. */
	readonly path: string;
	/** What is wrong with the value. */
	readonly message: string;
};

/** Checks an item's new content against the other items: referenced teams, unique token hashes and limits per team. */
export function validateItem(
	item: CatalogueItem,
	catalogue: Catalogue,
): readonly ValidationIssue[] {
	return item.kind === 'entry'
		? validateEntry(item, catalogue)
		: catalogue.items.flatMap(({item: other}) =>
				other.kind === 'team' &&
				other.name !== item.name &&
				other.tokenHash === item.tokenHash
					? [
							{
								path: 'tokenHash',
								message: `is already used by the team "${other.name}"; each team must have its own token`,
							},
						]
					: [],
			);
}

/** Checks the deletion of an item: a team cannot be deleted while an entry names it as its owner or among its teams. */
export function validateDeletion(
	{kind, name}: ItemKey,
	catalogue: Catalogue,
): readonly ValidationIssue[] {
	return kind === 'entry'
		? []
		: catalogue.items.flatMap(({item}) =>
				item.kind === 'entry' &&
				(item.owner === name || item.teams?.includes(name))
					? [
							{
								path: '',
								message: `the entry "${item.name}" still references this team`,
							},
						]
					: [],
			);
}

function validateEntry(entry: Entry, catalogue: Catalogue): ValidationIssue[] {
	const {owner, teams = [], limits} = entry;
	const unknownTeams = [
		{path: 'owner', name: owner},
		...teams.map((name, index) => ({path: `teams.${index}`, name})),
	].filter(({name}) => catalogue.team(name) === undefined);
	const {perTeam} = limits;
	return [
		...unknownTeams.map(({path, name}) => ({
			path,
			message: `must name an existing team; the catalogue has no team "${name}"`,
		})),
		...(['concurrency', 'startsPerSecond'] as const)
			.filter(
				(field) => perTeam !== undefined && perTeam[field] > limits[field],
			)
			.map((field) => ({
				path: `limits.perTeam.${field}`,
				message: `must be at most limits.${field} (${limits[field]})`,
			})),
	];
}
