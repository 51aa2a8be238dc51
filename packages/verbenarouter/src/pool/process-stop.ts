import {type Server} from 'node:http';
import {
	StopPlan,
	type EventLoopDelay,
	type StopNotice,
} from '@verbenarouter/core';
import {
	refuseOpenRequests,
	type JobDispatcher,
	type OpenRequests,
} from '@verbenarouter/platform';
import {type PoolLog} from './pool-log.js';
import {type PoolNode} from './pool-node.js';

/** Interval at which a stopping process checks what is due, besides each request that it reads. */
const checkIntervalMs = 50;
/** Time for cancellations to be sent to leaders before the connections to them are closed. */
const cancellationFlushMs = 100;
/**
 * Longest turn of the event loop after which connections are closed. What callers sent before the turn has been read if
 * the turn has accepted and read nothing; a request that arrived during a longer turn may wait unread.
 */
const quickTurnMs = 50;

/** What a stop needs of its process. */
export type StoppingProcess = {
	readonly node: JobDispatcher &
		Pick<
			PoolNode,
			'pendingJobCount' | 'beginStop' | 'answerRemainingJobs' | 'close'
		>;
	readonly log: Pick<PoolLog, 'write'>;
	readonly delay: EventLoopDelay;
	readonly callerServer: Server;
	readonly openRequests: OpenRequests;
	readonly readProcessGauges: () => Readonly<Record<string, number>>;
	readonly now: () => number;
	readonly exit: () => void;
};

/**
 * Stops a process: it answers every request that it has read, and then exits. What is due is also decided whenever a
 * request is read, so that a late timer accepts nothing that cannot be answered.
 */
export class ProcessStop {
	readonly #notice: StopNotice;
	readonly #plan: StopPlan;
	readonly #process: StoppingProcess;
	#isClosing = false;
	/** Whether the listener and idle connections are closed. */
	#isClosed = false;
	/** Time at which the remaining requests were given their last answers. */
	#answeredAtMs: number | undefined;
	#isEnding = false;
	/** Number of connections accepted and requests read during the stop. */
	#activityCount = 0;
	#checkTimer: NodeJS.Timeout | undefined;

	constructor(notice: StopNotice, stoppingProcess: StoppingProcess) {
		this.#notice = notice;
		this.#plan = new StopPlan(notice);
		this.#process = stoppingProcess;
	}

	/** Hands over what the node leads, and starts to check what is due. */
	begin(): void {
		const {node, callerServer} = this.#process;
		for (const event of ['connection', 'request']) {
			callerServer.on(event, () => {
				this.#activityCount += 1;
			});
		}

		this.#writeLine('stopping');
		node.beginStop((id, needsMs) => this.#acceptsRequest(id, needsMs));
		this.#checkTimer = setInterval(() => {
			this.#check();
		}, checkIntervalMs);
	}

	#acceptsRequest(id: string, needsMs: number): boolean {
		this.#check();
		const {now, log} = this.#process;
		const isAccepted =
			this.#answeredAtMs === undefined &&
			!this.#isEnding &&
			this.#plan.acceptsRequest(needsMs, this.#observe());
		log.write({
			event: 'read-while-stopping',
			id,
			isAccepted,
			needsMs,
			sinceStopMs: Math.round(now() - this.#notice.sentAtMs),
		});
		return isAccepted;
	}

	/** Does what is due. */
	#check(): void {
		const {node, openRequests} = this.#process;
		const phase = this.#plan.decidePhase(this.#observe());
		if (phase === 'draining') {
			return;
		}

		if (!this.#isClosing) {
			this.#isClosing = true;
			this.#afterQuietTurn(() => {
				// Closes idle connections too.
				this.#process.callerServer.close();
				this.#isClosed = true;
			});
		}

		if (phase !== 'closing') {
			this.#answerRemainingRequests();
		}

		const isFlushed =
			this.#answeredAtMs === undefined ||
			this.#process.now() - this.#answeredAtMs >= cancellationFlushMs;
		const isIdle = node.pendingJobCount === 0 && openRequests.readCount === 0;
		const isDone = this.#isClosed && isIdle && isFlushed;
		if (!this.#isEnding && (isDone || phase === 'over')) {
			this.#end();
		}
	}

	/** Answers the remaining jobs, and refuses the other requests that have no response. */
	#answerRemainingRequests(): void {
		if (this.#answeredAtMs !== undefined) {
			return;
		}

		const {node, openRequests, now} = this.#process;
		this.#answeredAtMs = now();
		this.#writeLine('answering-remaining');
		node.answerRemainingJobs();
		// The answers of jobs are passed on by promises.
		setImmediate(() => {
			refuseOpenRequests(node, openRequests);
		});
	}

	/** Closes the connections to peers and exits once nothing that was read has no response. */
	#end(): void {
		this.#isEnding = true;
		this.#writeLine('stopped');
		this.#process.node.close();
		this.#exitAfterQuietTurn();
	}

	#exitAfterQuietTurn(): void {
		this.#afterQuietTurn(() => {
			const {openRequests, exit} = this.#process;
			if (openRequests.readCount === 0 || this.#isOver) {
				clearInterval(this.#checkTimer);
				exit();
			} else {
				this.#exitAfterQuietTurn();
			}
		});
	}

	/**
	 * Calls `action` after a quick turn of the event loop that had nothing to accept or read, or when the time is over. A
	 * turn accepts one connection, and the next one reads from it.
	 */
	#afterQuietTurn(action: () => void): void {
		const {now} = this.#process;
		const waitFrom = (startedAtMs: number) => {
			const activityCount = this.#activityCount;
			setImmediate(() => {
				const endedAtMs = now();
				const isQuiet =
					endedAtMs - startedAtMs <= quickTurnMs &&
					this.#activityCount === activityCount;
				if (isQuiet || this.#isOver) {
					action();
				} else {
					waitFrom(endedAtMs);
				}
			});
		};

		setImmediate(() => {
			waitFrom(now());
		});
	}

	get #isOver(): boolean {
		return this.#plan.decidePhase(this.#observe()) === 'over';
	}

	#observe() {
		const now = this.#process.now();
		return {now, delayMs: this.#process.delay.largestMs(now)};
	}

	#writeLine(event: string): void {
		const {log, node, openRequests, now, readProcessGauges} = this.#process;
		log.write({
			event,
			pendingJobs: node.pendingJobCount,
			openRequests: openRequests.readCount,
			sinceStopMs: Math.round(now() - this.#notice.sentAtMs),
			...readProcessGauges(),
		});
	}
}
