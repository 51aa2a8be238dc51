import {type LearnedSpeeds, type PoolScheduler} from '@verbenarouter/core';
import {type NodeState} from '../overlay/overlay-node.js';

/** Age in milliseconds up to which the room and the waits of the led zones are not computed anew. */
const reportAgeMs = 80;
/** Interval in milliseconds at which a leader sends what it has learned of run times. */
const learnedIntervalMs = 1000;
/**
 * Time in milliseconds without room after which new room is announced at once; shorter ones would cost a heartbeat each under
 * full load.
 */
const minFullMs = 300;

/** The room and the waits of the zones that an entry VM leads. */
export type ZoneReport = Pick<NodeState, 'spareMillis' | 'waits'>;

/** What a {@link ZoneReporter} needs of its entry VM. */
export type ZoneReporterOptions = {
	readonly scheduler: Pick<
		PoolScheduler,
		'computeSpareMillis' | 'projectZoneWaits' | 'exportLearned'
	>;
	/** Sends a heartbeat to all peers. */
	readonly announce: (now: number) => void;
	/** Sends what was learned to candidates of the led zones and to other leaders. */
	readonly sendLearned: (learned: LearnedSpeeds, now: number) => void;
};

/** Decides when a leader tells others of the room in its zones, and of what it has learned. */
export class ZoneReporter {
	readonly #options: ZoneReporterOptions;
	#report: ZoneReport = {};
	#reportedAtMs = Number.NEGATIVE_INFINITY;
	/** Time since which no led zone has room for jobs of other zones; `undefined` while one has. */
	#fullSinceMs: number | undefined;
	#learnedSentAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: ZoneReporterOptions) {
		this.#options = options;
	}

	/** Returns the room and the waits of the led zones. Several heartbeats of one moment share them. */
	read(now: number): ZoneReport {
		if (now - this.#reportedAtMs >= reportAgeMs) {
			const {scheduler} = this.#options;
			this.#reportedAtMs = now;
			this.#report = {
				spareMillis: scheduler.computeSpareMillis(now),
				waits: scheduler.projectZoneWaits(now),
			};
		}

		return this.#report;
	}

	/** Has the first room after the claim of a zone announced at once, however soon its workers report. */
	handleClaim(): void {
		this.#fullSinceMs = Number.NEGATIVE_INFINITY;
		this.#reportedAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Sends what is due. Call it often while this entry VM leads zones with leaders of their own. */
	update(now: number): void {
		this.#announceRegainedRoom(now);
		if (now - this.#learnedSentAtMs >= learnedIntervalMs) {
			this.#learnedSentAtMs = now;
			const learned = this.#options.scheduler.exportLearned();
			if (learned.kinds.length > 1 || learned.tails.length > 0) {
				this.#options.sendLearned(learned, now);
			}
		}
	}

	/**
	 * Tells the peers at once that the led zones have room again after a time without any: jobs that other zones refuse would
	 * be refused for good until the next heartbeat.
	 */
	#announceRegainedRoom(now: number): void {
		const {spareMillis = {}} =
			this.#fullSinceMs === undefined ? this.#report : this.read(now);
		const hasRoom = Object.values(spareMillis).some((millis) => millis > 0);
		if (!hasRoom) {
			this.#fullSinceMs ??= now;
		} else if (this.#fullSinceMs !== undefined) {
			if (now - this.#fullSinceMs >= minFullMs) {
				this.#options.announce(now);
			}

			this.#fullSinceMs = undefined;
		}
	}
}
