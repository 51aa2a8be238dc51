/** Follows the catalogue's stream of the platform's log. */
import {Catalogue, type Entry, type Team} from '@verbenarouter/core';
import {type Platform} from '@verbenarouter/platform';
import {type CatalogueView} from './submission-router.js';

/** The stream on which operators publish. */
export const catalogueStream = 'catalogue';

const recordsPerRead = 500;

/** Keeps the newest catalogue that this entry VM has heard of. */
export class CatalogueFollower implements CatalogueView {
	readonly #platform: Platform;
	#catalogue = new Catalogue();
	#teamsByHash: ReadonlyMap<string, Team> = new Map();
	#isLoaded = false;

	constructor(platform: Platform) {
		this.#platform = platform;
	}

	/** Whether the log has been read to its end at least once. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** The newest catalogue. */
	get catalogue(): Catalogue {
		return this.#catalogue;
	}

	entry(name: string): Entry | undefined {
		return this.#catalogue.entry(name);
	}

	team(name: string): Team | undefined {
		return this.#catalogue.team(name);
	}

	teamByTokenHash(hash: string): Team | undefined {
		return this.#teamsByHash.get(hash);
	}

	/** Reads what the log has got since the last call. */
	async follow(): Promise<void> {
		const page = await this.#platform.read(
			catalogueStream,
			this.#catalogue.nextOffset,
			recordsPerRead,
		);
		if (page.isErr()) {
			return;
		}

		const {records, endOffset} = page.value;
		if (records.length > 0) {
			let next = this.#catalogue;
			for (const {offset, record} of records) {
				next = next.apply(offset, record);
			}

			this.#catalogue = next;
			this.#teamsByHash = new Map(
				next.items.flatMap(({item}) =>
					item.kind === 'team' ? [[item.tokenHash, item] as const] : [],
				),
			);
		}

		this.#isLoaded ||= this.#catalogue.nextOffset >= endOffset;
	}
}
