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

/** Name of the platform's log stream that holds the catalogue's records. */
export const catalogueStream = 'catalogue';

const maxRecordsPerRead = 200;

/** Number of records at the log's end in which a starting entry VM looks for a snapshot before it reads the whole log. */
const startupTailRecords = 600;

/** Options of {@link CatalogueFollower}. */
export type CatalogueFollowerOptions = {
	readonly platform: Pick<Platform, 'append' | 'read'>;
	readonly clock: Clock;
	/** Called after a read of the log has advanced the catalogue. */
	readonly onNewRecords: () => void;
};

/** Maintains the newest catalogue that is known from the platform's log or from peers. */
export class CatalogueFollower implements CatalogueView {
	readonly #options: CatalogueFollowerOptions;
	#replay = new CatalogueReplay();
	#teamsByTokenHash: ReadonlyMap<string, Team> = new Map();
	#lastRead: Promise<boolean> = Promise.resolve(true);
	#isLogReadable = false;
	#source: CatalogueStatus['source'] = 'none';
	/** Latest time at which the catalogue was known to be current. */
	#confirmedAtMs: number | undefined;

	constructor(options: CatalogueFollowerOptions) {
		this.#options = options;
	}

	/** Whether the catalogue was ever known to be current, from the log or from a peer. */
	get isLoaded(): boolean {
		return this.#confirmedAtMs !== undefined;
	}

	/** The newest catalogue. */
	get catalogue(): Catalogue {
		return this.#replay.catalogue;
	}

	/** The replay that the catalogue is built by. */
	get replay(): CatalogueReplay {
		return this.#replay;
	}

	/** Milliseconds since the catalogue was known to be current; `undefined` when it never was. */
	get ageMs(): number | undefined {
		return (
			this.#confirmedAtMs &&
			Math.max(0, Math.round(this.#options.clock() - this.#confirmedAtMs))
		);
	}

	/** The freshness and the source of the catalogue. */
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
		if (!this.#isLogReadable) {
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
		return this.#teamsByTokenHash.get(hash);
	}

	/** Appends a record to the catalogue's stream and returns its offset. */
	append(record: unknown): ResultAsync<number, PlatformFailure> {
		return this.#options.platform.append(catalogueStream, record);
	}

	/**
	 * Reads to the log's end, starting after this call and after the read in progress. Returns `false` if the read fails, a
	 * gap is left or the log has lost records.
	 */
	async catchUp(): Promise<boolean> {
		const previousRead = this.#lastRead;
		this.#lastRead = (async () => {
			await previousRead;
			return this.#readToEnd();
		})();
		return this.#lastRead;
	}

	/** Applies a peer's reply. The age of the peer's catalogue counts only if this catalogue has reached the same offset. */
	applyPeerReply(reply: CatalogueReply, roundTripMs: number): void {
		const now = this.#options.clock();
		this.#replaceReplay(this.#replay.applyPeerUpdate(reply.update), 'peer');
		const {ageMs, nextOffset} = reply;
		if (ageMs !== undefined && this.catalogue.nextOffset >= nextOffset) {
			this.#confirmCurrentAt(now - ageMs - roundTripMs);
		}
	}

	async #readToEnd(): Promise<boolean> {
		const from =
			this.#replay.nextReadOffset === 0
				? await this.#findTailOffset()
				: this.#replay.nextReadOffset;
		const isCurrent = from !== undefined && (await this.#readFrom(from));
		if (!this.#isLogReadable || !this.#replay.hasSkippedRecords) {
			return isCurrent;
		}

		// No snapshot near the end covers the skipped records, so all records that the log retains are read.
		this.#replay = this.#replay.withoutGap();
		return this.#readFrom(this.#replay.nextReadOffset);
	}

	/** Returns the offset {@link startupTailRecords} before the log's end; `undefined` if the log cannot be read. */
	async #findTailOffset(): Promise<number | undefined> {
		const page = await this.#options.platform.read(catalogueStream, 0, 1);
		this.#isLogReadable = page.isOk();
		return page.isOk()
			? Math.max(0, page.value.endOffset - startupTailRecords)
			: undefined;
	}

	/** Reads from an offset to the log's end; returns whether the catalogue is current then. */
	async #readFrom(requestedOffset: number): Promise<boolean> {
		const requestedAtMs = this.#options.clock();
		const page = await this.#options.platform.read(
			catalogueStream,
			requestedOffset,
			maxRecordsPerRead,
		);
		this.#isLogReadable = page.isOk();
		if (page.isErr()) {
			return false;
		}

		const hasNewRecords = this.#replaceReplay(
			this.#replay.applyPage(page.value, requestedOffset),
			'log',
		);
		const {endOffset, records} = page.value;
		if (records.length > 0 && this.#replay.nextReadOffset < endOffset) {
			return this.#readFrom(this.#replay.nextReadOffset);
		}

		if (hasNewRecords) {
			this.#options.onNewRecords();
		}

		const isCurrent = !this.#replay.hasGap && !this.#replay.isLogBehind;
		if (isCurrent) {
			this.#confirmCurrentAt(requestedAtMs);
		}

		return isCurrent;
	}

	#confirmCurrentAt(atMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? 0, atMs);
	}

	#replaceReplay(next: CatalogueReplay, source: 'log' | 'peer'): boolean {
		const hasNewRecords = next.catalogue.nextOffset > this.catalogue.nextOffset;
		this.#replay = next;
		if (hasNewRecords) {
			this.#source = source;
			this.#teamsByTokenHash = new Map(
				next.catalogue.items.flatMap(({item}) =>
					item.kind === 'team' ? [[item.tokenHash, item] as const] : [],
				),
			);
		}

		return hasNewRecords;
	}
}
