/** Keeps the newest catalogue that this entry VM has heard of, from the platform's log or from peers. */
import {
	CatalogueReplay,
	type Catalogue,
	type Entry,
	type Team,
} from '@verbenarouter/core';
import {type CatalogueStatus} from '@verbenarouter/operator';
import {type CatalogueReply} from '@verbenarouter/peer';
import {type Platform, type PlatformFailure} from '@verbenarouter/platform';
import {type ResultAsync} from 'neverthrow';
import {type Clock} from './clock.js';
import {type CatalogueView} from './submission-router.js';

/** The stream on which operators publish. */
export const catalogueStream = 'catalogue';

const recordsPerRead = 200;

/** Records at the log's end in which a fresh entry VM looks for a snapshot before it reads the whole log. */
const tailRecords = 600;

/** Parts that the follower uses. */
export type CatalogueFollowerParts = {
	readonly platform: Pick<Platform, 'append' | 'read'>;
	readonly clock: Clock;
	/** Hears that the log brought something new. */
	readonly onNews: () => void;
};

/** Keeps the newest catalogue that this entry VM has heard of. */
export class CatalogueFollower implements CatalogueView {
	readonly #parts: CatalogueFollowerParts;
	#replay = new CatalogueReplay();
	#teamsByHash: ReadonlyMap<string, Team> = new Map();
	#reading: Promise<boolean> = Promise.resolve(true);
	#couldRead = false;
	#source: CatalogueStatus['source'] = 'none';
	/** Time at which the catalogue was known to be current. */
	#confirmedAtMs: number | undefined;

	constructor(parts: CatalogueFollowerParts) {
		this.#parts = parts;
	}

	/** Whether the catalogue was current at some time, by the log or by a peer. */
	get isLoaded(): boolean {
		return this.#confirmedAtMs !== undefined;
	}

	/** The newest catalogue. */
	get catalogue(): Catalogue {
		return this.#replay.catalogue;
	}

	/** The replay behind the catalogue. */
	get replay(): CatalogueReplay {
		return this.#replay;
	}

	/** Milliseconds since the catalogue was known to be current; `undefined` when it never was. */
	get ageMs(): number | undefined {
		return (
			this.#confirmedAtMs &&
			Math.max(0, Math.round(this.#parts.clock() - this.#confirmedAtMs))
		);
	}

	/** How fresh the catalogue is, and where it came from. */
	get status(): Pick<
		CatalogueStatus,
		'nextOffset' | 'ageMs' | 'source' | 'state' | 'snapshotOffset'
	> {
		return {
			nextOffset: this.catalogue.nextOffset,
			ageMs: this.ageMs,
			source: this.#source,
			state: this.#state,
			snapshotOffset: this.#replay.lastSnapshot?.offset,
		};
	}

	get #state(): CatalogueStatus['state'] {
		if (!this.#couldRead) {
			return 'log-unreadable';
		}

		if (this.#replay.hasGap) {
			return 'gap';
		}

		return this.#replay.isLogBehind ? 'log-behind' : 'current';
	}

	entry(name: string): Entry | undefined {
		return this.catalogue.entry(name);
	}

	team(name: string): Team | undefined {
		return this.catalogue.team(name);
	}

	teamByTokenHash(hash: string): Team | undefined {
		return this.#teamsByHash.get(hash);
	}

	/** Appends a record to the catalogue's stream. */
	append(record: unknown): ResultAsync<number, PlatformFailure> {
		return this.#parts.platform.append(catalogueStream, record);
	}

	/** Reads to the log's end, beginning after the call; `false` when that fails, or when a gap is left. */
	async follow(): Promise<boolean> {
		const before = this.#reading;
		this.#reading = (async () => {
			await before;
			return this.#readToEnd();
		})();
		return this.#reading;
	}

	/** Takes over what a peer knows beyond this entry VM's own knowledge. */
	learn(reply: CatalogueReply, roundTripMs: number): void {
		const now = this.#parts.clock();
		this.#replace(this.#replay.applyPeerUpdate(reply.update), 'peer');
		const {ageMs, nextOffset} = reply;
		if (ageMs !== undefined && this.catalogue.nextOffset >= nextOffset) {
			this.#confirm(now - ageMs - roundTripMs);
		}
	}

	async #readToEnd(): Promise<boolean> {
		const from =
			this.#replay.nextReadOffset === 0
				? await this.#tailOffset()
				: this.#replay.nextReadOffset;
		const isCurrent = from !== undefined && (await this.#readFrom(from));
		if (!this.#couldRead || !this.#replay.hasSkippedRecords) {
			return isCurrent;
		}

		// No snapshot is near the end: whatever the log keeps is needed.
		this.#replay = this.#replay.withoutGap();
		return this.#readFrom(this.#replay.nextReadOffset);
	}

	/** Offset a little before the log's end; `undefined` when the log cannot be read. */
	async #tailOffset(): Promise<number | undefined> {
		const page = await this.#parts.platform.read(catalogueStream, 0, 1);
		this.#couldRead = page.isOk();
		return page.isOk()
			? Math.max(0, page.value.endOffset - tailRecords)
			: undefined;
	}

	/** Reads from an offset to the log's end. */
	async #readFrom(askedFrom: number): Promise<boolean> {
		const askedAtMs = this.#parts.clock();
		const page = await this.#parts.platform.read(
			catalogueStream,
			askedFrom,
			recordsPerRead,
		);
		this.#couldRead = page.isOk();
		if (page.isErr()) {
			return false;
		}

		const hasNews = this.#replace(
			this.#replay.applyPage(page.value, askedFrom),
			'log',
		);
		const {endOffset, records} = page.value;
		if (records.length > 0 && this.#replay.nextReadOffset < endOffset) {
			return this.#readFrom(this.#replay.nextReadOffset);
		}

		if (hasNews) {
			this.#parts.onNews();
		}

		const isCurrent = !this.#replay.hasGap && !this.#replay.isLogBehind;
		if (isCurrent) {
			this.#confirm(askedAtMs);
		}

		return isCurrent;
	}

	#confirm(atMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? 0, atMs);
	}

	#replace(next: CatalogueReplay, source: 'log' | 'peer'): boolean {
		const hasNews = next.catalogue.nextOffset > this.catalogue.nextOffset;
		this.#replay = next;
		if (hasNews) {
			this.#source = source;
			this.#teamsByHash = new Map(
				next.catalogue.items.flatMap(({item}) =>
					item.kind === 'team' ? [[item.tokenHash, item] as const] : [],
				),
			);
		}

		return hasNews;
	}
}
