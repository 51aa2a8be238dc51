/** Catalogue items for installations. */
import {createHash} from 'node:crypto';
import {type CatalogueItem} from '@verbenarouter/core';

/** The token of a team of an installation. */
export function tokenOf(team: string): string {
	return `token-of-${team}`;
}

/** A team for an installation's catalogue. */
export function teamItem(
	name: string,
	change: Partial<Extract<CatalogueItem, {kind: 'team'}>> = {},
): CatalogueItem {
	return {
		kind: 'team',
		name,
		tokenHash: createHash('sha256').update(tokenOf(name)).digest('hex'),
		role: 'caller',
		quota: {concurrency: 10_000, startsPerSecond: 100_000},
		...change,
	};
}

/** An entry for an installation's catalogue. */
export function entryItem(
	name: string,
	change: Partial<Extract<CatalogueItem, {kind: 'entry'}>> = {},
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
		...change,
	};
}
