/** Time for which new connections still arrive after the readiness fails; the load balancer needs two failed probes. */
const drainMs = 2600;
/** Time after the notice of the stop until which requests on open connections are accepted. */
const acceptMs = 3000;
/** Time for the last answers of a process that is in time, before the platform would kill it. */
const answerMarginMs = 600;
/** Number of delays of the event loop that pass until the last answers are sent: of the check, and of the sending. */
const delaysUntilAnswered = 2;
/** Time before the end of the grace period at which the process ends, even if callers do not read their answers. */
const endMarginMs = 50;

/** When a process was told to stop. */
export type StopNotice = {
	/** Earliest time at which the signal can have been sent; a late event loop handles it later. */
	readonly sentAtMs: number;
	/** Time at which it was handled. */
	readonly handledAtMs: number;
	/** Time after the signal at which the platform kills the process. */
	readonly graceMs: number;
};

/** What a stopping process observes when it decides. */
export type StopObservation = {
	readonly now: number;
	/** Largest recent delay of the event loop. */
	readonly delayMs: number;
};

/**
 * What a stopping process does:
 *
 * - `draining`: the load balancer may still open connections.
 * - `closing`: no new connections; idle ones are closed, and the process ends once all requests are answered.
 * - `answering`: all remaining requests get their last answer, and the process ends once these are sent.
 * - `over`: the process ends at once.
 */
export type StopPhase = 'draining' | 'closing' | 'answering' | 'over';

/** Decides what a stopping process does, and which requests it still accepts. */
export class StopPlan {
	readonly #notice: StopNotice;

	constructor(notice: StopNotice) {
		this.#notice = notice;
	}

	/** Returns what is due now. A phase may be passed over if nothing has decided in time. */
	decidePhase({now, delayMs}: StopObservation): StopPhase {
		const {handledAtMs, sentAtMs, graceMs} = this.#notice;
		if (now >= sentAtMs + graceMs - endMarginMs) {
			return 'over';
		}

		if (now >= this.#computeAnswerTimeMs(delayMs)) {
			return 'answering';
		}

		return now >= handledAtMs + drainMs ? 'closing' : 'draining';
	}

	/** Whether a request that takes `needsMs` is accepted: not after the time for it, and only if its answer is in time. */
	acceptsRequest(needsMs: number, {now, delayMs}: StopObservation): boolean {
		return (
			now < this.#notice.handledAtMs + acceptMs &&
			now + needsMs + delayMs < this.#computeAnswerTimeMs(delayMs)
		);
	}

	/** Computes the time of the last answers. It is the earlier the later the event loop is, but not before the drain ends. */
	#computeAnswerTimeMs(delayMs: number): number {
		const {sentAtMs, graceMs} = this.#notice;
		return (
			sentAtMs +
			Math.max(
				Math.min(drainMs, graceMs / 2),
				graceMs - answerMarginMs - delaysUntilAnswered * delayMs,
			)
		);
	}
}
