import {createHash} from 'node:crypto';
import {type CatalogueItem} from '@verbenarouter/core';

/** Returns the bearer token that {@link createTeamItem} gives to a team. */
export function tokenForTeam(team: string): string {
	return `token-of-${team}`;
}

/** Creates a catalogue item of a team with the role `caller` and a large quota. */
export function createTeamItem(
	name: string,
	overrides: Partial<Extract<CatalogueItem, {kind: 'team'}>> = {},
): CatalogueItem {
	return {
		kind: 'team',
		name,
		tokenHash: createHash('sha256').update(tokenForTeam(name)).digest('hex'),
		role: 'caller',
		quota: {concurrency: 10_000, startsPerSecond: 100_000},
		...overrides,
	};
}

/** Creates a catalogue item of an entry that the team `coastal` owns; the class of work has the name of the entry. */
export function createEntryItem(
	name: string,
	overrides: Partial<Extract<CatalogueItem, {kind: 'entry'}>> = {},
): CatalogueItem {
	return {
		kind: 'entry',
		name,
		owner: 'coastal',
		classOfWork: name,
		idempotent: true,
		needs: {processors: 1, memoryMb: 256, accelerators: 0},
		limits: {
			concurrency: 10_000,
			startsPerSecond: 100_000,
			deadlineMs: 10_000,
			largestJob: 1400,
		},
		...overrides,
	};
}
