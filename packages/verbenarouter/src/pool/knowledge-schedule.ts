import {type WorkerEntry} from '@verbenarouter/core';
import {type KnowledgeVersions} from '@verbenarouter/peer';

/** Shortest time between two copies of the list of workers to one peer, which needs it only if it becomes a leader. */
const workersGapMs = 2000;
/** Shortest time between two copies of one desired state to a peer, which confirms it with a heartbeat. */
const stateGapMs = 400;

/** What a peer is to be sent. */
export type DueKnowledge = {
	readonly hasState: boolean;
	readonly hasWorkers: boolean;
};

/** The last copies that were sent to a peer. */
type SentKnowledge = {
	readonly state: number;
	readonly stateAtMs: number;
	readonly workers: string;
	readonly workersAtMs: number;
};

/** A peer, and the versions that its newest heartbeat announces; peers of earlier versions announce none. */
export type KnowledgePeer = {
	readonly name: string;
	readonly knows: KnowledgeVersions | undefined;
	/** Whether the peer may become a leader, which is all that the list of workers is needed for. */
	readonly needsWorkers: boolean;
};

const nothingSent: SentKnowledge = {
	state: 0,
	stateAtMs: Number.NEGATIVE_INFINITY,
	workers: '',
	workersAtMs: Number.NEGATIVE_INFINITY,
};

/**
 * Decides which peers are sent the desired state and the list of workers: those that lack them, each at a bounded rate
 * whatever changes.
 */
export class KnowledgeSchedule {
	readonly #sent = new Map<string, SentKnowledge>();

	/** Returns what each peer is to be sent now, and records it as sent. */
	takeDue(
		peers: readonly KnowledgePeer[],
		own: KnowledgeVersions,
		now: number,
	): ReadonlyMap<string, DueKnowledge> {
		const due = new Map<string, DueKnowledge>();
		for (const peer of peers) {
			const sent = this.#sent.get(peer.name) ?? nothingSent;
			const knowledge = findDue(peer, sent, own, now);
			if (knowledge !== undefined) {
				const {hasState, hasWorkers} = knowledge;
				due.set(peer.name, knowledge);
				this.#sent.set(peer.name, {
					...sent,
					...(hasState ? {state: own.state, stateAtMs: now} : {}),
					...(hasWorkers ? {workers: own.workers, workersAtMs: now} : {}),
				});
			}
		}

		return due;
	}

	/** Forgets what was sent to a peer, as it may be lost with the stream. The bound on the rate remains. */
	handleOpen(name: string): void {
		const sent = this.#sent.get(name);
		if (sent !== undefined) {
			this.#sent.set(name, {...sent, state: 0, workers: ''});
		}
	}
}

/** Returns what a peer is to be sent now, `undefined` for nothing. */
function findDue(
	{knows, needsWorkers}: KnowledgePeer,
	sent: SentKnowledge,
	own: KnowledgeVersions,
	now: number,
): DueKnowledge | undefined {
	// A peer that announces no versions has what was sent since its stream opened.
	const known = knows ?? sent;
	const hasState =
		known.state < own.state &&
		(sent.state < own.state || now - sent.stateAtMs >= stateGapMs);
	const hasWorkers =
		needsWorkers &&
		known.workers !== own.workers &&
		now - sent.workersAtMs >= workersGapMs;
	if (!hasState && !hasWorkers) {
		return undefined;
	}

	// Earlier versions accept only complete copies.
	return knows === undefined
		? {hasState: true, hasWorkers: true}
		: {hasState, hasWorkers};
}

/** Computes a version of a list of workers that depends on {@link describeWorker} of each, but not on their order. */
export function computeWorkersVersion(workers: readonly WorkerEntry[]): string {
	const sum = workers.reduce(
		(total, worker) => (total + hashText(describeWorker(worker))) % hashModulus,
		0,
	);
	return `${workers.length}-${sum}`;
}

/** Returns a text that differs for two entries of a worker if a leader has to treat it differently: all that may change. */
export function describeWorker({
	id,
	state,
	bornMs,
	address,
	capacity: {processorMillis, memoryMb, accelerators},
}: WorkerEntry): string {
	return `${id} ${state} ${bornMs} ${address} ${processorMillis} ${memoryMb} ${accelerators}`;
}

const hashModulus = 2 ** 40;
const hashFactor = 4099;

function hashText(text: string): number {
	let hash = 7;
	for (const letter of text) {
		hash = (hash * hashFactor + (letter.codePointAt(0) ?? 0)) % hashModulus;
	}

	return hash;
}
