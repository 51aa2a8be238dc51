import {text} from 'node:stream/consumers';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** Run of a task as recorded by the worker. */
export type RecordedRun = {
	readonly task: string;
	readonly run: number;
	readonly startedAtMs: number;
	/** `undefined` while the run is in progress. */
	endedAtMs: number | undefined;
	/** `done`, `stopped`, `lapsed` (the lease expired) or `crashed` (the worker did); `undefined` while the run is in progress. */
	outcome: string | undefined;
};

/** A run in progress. */
type RunningTask = {
	readonly record: RecordedRun;
	readonly needsMillis: number;
	/** Ends the run, or crashes the worker. */
	readonly end: DelayedCall;
	/** Called with each answer to a start command of the run, before it has been sent. */
	readonly handleAnswer: (answer: ServerResponse) => void;
	/** Whether further start commands of the run get no answer. */
	readonly ignoresCopies?: boolean;
};

/** A call that is made once, a delay after its first request. */
class DelayedCall {
	readonly #delayMs: number;
	readonly #call: () => void;
	#timer: NodeJS.Timeout | undefined;

	constructor(delayMs: number, call: () => void) {
		this.#delayMs = delayMs;
		this.#call = call;
	}

	start(): void {
		this.#timer ??= setTimeout(this.#call, this.#delayMs);
	}

	cancel(): void {
		clearTimeout(this.#timer);
	}
}

/** Report of a finished run: its sequence number, task, run number, outcome and an empty text. */
type FinishedRun = readonly [number, string, number, string, string];

/** Settings of a worker's stand-in. */
export type WorkerStandInOptions = {
	readonly id: string;
	readonly zone: string;
	readonly service: string;
	/** Capacity in thousandths of a processor. */
	readonly processorMillis: number;
	/** Parses a task's specification. */
	readonly parseTaskSpec: (spec: string) => TaskBehavior;
	/** Whether starts beyond the capacity are refused; true by default. */
	readonly guardsCapacity?: boolean;
	/** Called when the worker has started again after a crash. */
	readonly onRestart?: () => void;
};

/** What a task does on the worker that starts it. */
export type TaskBehavior = {
	/** Time in milliseconds until the task ends, or until it crashes its worker. */
	readonly runMs: number;
	/** Thousandths of a processor that it uses. */
	readonly needsMillis: number;
	readonly crashesWorker: boolean;
	/** Number of runs of a task that crashes workers whose start commands get no answer; 0 if absent. */
	readonly unansweredStarts?: number;
	/**
	 * Time in milliseconds after which a start of a task that crashes workers is confirmed; further copies of the command get
	 * no answer then. 0 if absent.
	 */
	readonly confirmationDelayMs?: number;
};

const maxLeaseMs = 1000;
const stopDelayMs = 10;
/** Time from a crash until the worker listens again, under the same identifier and address. */
const restartDelayMs = 2500;

/** Stand-in for a worker of the users' platform: runs tasks by waiting, under a lease and fencing tokens. */
export class WorkerStandIn {
	/** All runs that started, in the order of their starts. */
	readonly runs: RecordedRun[] = [];
	/** State in the registry record; a draining worker still accepts runs. */
	state: 'ready' | 'draining' = 'ready';
	/** Start time since the Unix epoch, sent in each response as `born`. */
	bornMs = Date.now();
	/** Number of times that a task has ended the worker's process. */
	crashCount = 0;
	/** Largest use of the processor so far at the start of a run, less the capacity that counted then. */
	largestExcessMillis = Number.NEGATIVE_INFINITY;
	/** Present capacity in thousandths of a processor. */
	#processorMillis: number;
	/** Former capacities that still count, as leaders may not have heard of the change. */
	#formerCapacities: ReadonlyArray<{
		readonly processorMillis: number;
		readonly untilMs: number;
	}> = [];

	#server: Server;
	#port = 0;
	#restartTimer: NodeJS.Timeout | undefined;
	readonly #runningTasks = new Map<string, RunningTask>();
	/** Number of the last stopped or ended run of each task; neither it nor an earlier run may start. */
	readonly #tombstones = new Map<string, number>();
	/** Finished runs that no hold request has acknowledged. */
	#unacknowledgedRuns: FinishedRun[] = [];
	#nextSequence = 1;
	/** Highest fencing token received; requests with a lower one are refused. */
	#fencingToken = 0;
	#leaseUntilMs = 0;
	#leaseTimer: NodeJS.Timeout | undefined;
	/** Responds to the hold requests that wait for a finished run. */
	readonly #pendingHolds = new Set<() => void>();

	constructor(readonly options: WorkerStandInOptions) {
		this.#processorMillis = options.processorMillis;
		this.#server = this.#createServer();
	}

	/** Listens on a loopback port that the system assigns. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	/** Changes the capacity while the worker runs; the former one counts for `noticeMs` more if it was larger. */
	resize(processorMillis: number, noticeMs: number): void {
		this.#formerCapacities = [
			...this.#formerCapacities,
			{
				processorMillis: this.#processorMillis,
				untilMs: this.#clockMs + noticeMs,
			},
		];
		this.#processorMillis = processorMillis;
	}

	/** Ends the worker's process: all runs and connections end, and it starts again a while later and knows nothing of before. */
	crash(): void {
		this.crashCount += 1;
		this.#closeServer();
		for (const {record} of this.#runningTasks.values()) {
			record.endedAtMs = performance.now();
			record.outcome = 'crashed';
		}

		this.#runningTasks.clear();
		this.#tombstones.clear();
		this.#pendingHolds.clear();
		this.#unacknowledgedRuns = [];
		this.#nextSequence = 1;
		this.#fencingToken = 0;
		this.#leaseUntilMs = 0;
		this.#restartTimer = setTimeout(() => {
			void this.#startAgain();
		}, restartDelayMs);
	}

	/** Host and port of the listening worker. */
	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	/** Record of the worker in the registry topic of the store, as JSON. */
	get registryRecord(): string {
		const {service, zone} = this.options;
		return JSON.stringify({
			service,
			address: this.address,
			zone,
			version: 'v1',
			slots: 8,
			state: this.state,
			capacity: {cpu: this.#processorMillis, memMb: 131_072},
			labels: ['a', 'r1-1'],
			born: this.bornMs,
			sequence: 1,
		});
	}

	/** Cancels all timers and closes the server with its connections. */
	close(): void {
		clearTimeout(this.#restartTimer);
		this.#closeServer();
	}

	async #startAgain(): Promise<void> {
		this.bornMs = Date.now();
		this.#server = this.#createServer();
		await this.listen();
		this.options.onRestart?.();
	}

	#createServer(): Server {
		return createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	#closeServer(): void {
		clearTimeout(this.#leaseTimer);
		for (const {end} of this.#runningTasks.values()) {
			end.cancel();
		}

		this.#server.closeAllConnections();
		this.#server.close();
	}

	get #countedCapacityMillis(): number {
		return Math.max(
			this.#processorMillis,
			...this.#formerCapacities
				.filter(({untilMs}) => this.#clockMs < untilMs)
				.map(({processorMillis}) => processorMillis),
		);
	}

	/** Monotonic clock of the worker in milliseconds, by which the requests give their deadlines. */
	get #clockMs(): number {
		return Math.floor(performance.now());
	}

	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const bodyText = await readBody(request);
		if (bodyText === undefined) {
			response.destroy();
			return;
		}

		const body = JSON.parse(bodyText) as Record<string, unknown>;
		const token = Number(body.fencingToken ?? 0);
		if (token < this.#fencingToken) {
			this.#respond(response, 409, {reason: 'fence'});
			return;
		}

		this.#fencingToken = token;
		switch (request.url ?? '') {
			case '/api/hold': {
				this.#handleHold(body, response);
				break;
			}

			case '/api/run-start': {
				this.#handleRunStart(body, response);
				break;
			}

			case '/api/run-stop': {
				const task = String(body.task);
				this.#tombstones.set(task, Number(body.run));
				setTimeout(() => {
					this.#finishRun(task, 'stopped');
				}, stopDelayMs);
				this.#respond(response, 200, {});
				break;
			}

			default: {
				this.#respond(response, 400, {});
			}
		}
	}

	#handleHold(
		body: Readonly<Record<string, unknown>>,
		response: ServerResponse,
	) {
		this.#extendLease(Number(body.deadlineMs ?? 0));
		const lastSeen = Number(body.lastSeen ?? 0);
		this.#unacknowledgedRuns = this.#unacknowledgedRuns.filter(
			([sequence]) => sequence > lastSeen,
		);
		const respondToHold = () => {
			clearTimeout(timer);
			this.#pendingHolds.delete(respondToHold);
			this.#respond(response, 200, {
				running: [...this.#runningTasks.values()].map(({record}) => [
					record.task,
					record.run,
					'',
					100,
				]),
				finished: this.#unacknowledgedRuns,
			});
		};

		const timer = setTimeout(respondToHold, Number(body.waitMs ?? 0));
		if (this.#unacknowledgedRuns.length > 0) {
			respondToHold();
		} else {
			this.#pendingHolds.add(respondToHold);
		}
	}

	#handleRunStart(
		body: Readonly<Record<string, unknown>>,
		response: ServerResponse,
	) {
		const task = String(body.task);
		const run = Number(body.run);
		const deadlineMs = Number(body.deadlineMs);
		if (deadlineMs <= this.#clockMs) {
			this.#respond(response, 409, {reason: 'late'});
			return;
		}

		this.#extendLease(deadlineMs);
		const runningTask = this.#runningTasks.get(task);
		if (runningTask?.record.run === run) {
			if (!runningTask.ignoresCopies) {
				runningTask.handleAnswer(response);
				this.#respond(response, 200, {});
			}

			return;
		}

		if (run <= (this.#tombstones.get(task) ?? 0)) {
			this.#respond(response, 409, {reason: 'old'});
			return;
		}

		const {
			runMs,
			needsMillis,
			crashesWorker,
			unansweredStarts = 0,
			confirmationDelayMs = 0,
		} = this.options.parseTaskSpec(String(body.spec));
		const usedMillis = [...this.#runningTasks.values()].reduce(
			(sum, running) => sum + running.needsMillis,
			0,
		);
		const neededMillis = usedMillis + needsMillis;
		if (
			neededMillis > this.#processorMillis &&
			this.options.guardsCapacity !== false
		) {
			this.#respond(response, 409, {reason: 'room'});
			return;
		}

		const excessMillis = neededMillis - this.#countedCapacityMillis;

		this.largestExcessMillis = Math.max(this.largestExcessMillis, excessMillis);

		const record: RecordedRun = {
			task,
			run,
			startedAtMs: performance.now(),
			endedAtMs: undefined,
			outcome: undefined,
		};
		this.runs.push(record);
		if (crashesWorker) {
			const isUnanswered = run <= unansweredStarts;
			// The confirmation of the start leaves before the crash, however late this process runs.
			const crash = new DelayedCall(runMs, () => {
				this.crash();
			});
			const handleAnswer = (answer: ServerResponse) => {
				answer.once('finish', () => {
					crash.start();
				});
			};

			this.#runningTasks.set(task, {
				record,
				needsMillis,
				end: crash,
				handleAnswer,
				ignoresCopies: confirmationDelayMs > 0,
			});
			if (isUnanswered) {
				crash.start();
			} else if (confirmationDelayMs > 0) {
				setTimeout(() => {
					// A connection that the leader has given up cannot carry the confirmation.
					crash.start();
					this.#respond(response, 200, {});
				}, confirmationDelayMs);
			} else {
				handleAnswer(response);
				this.#respond(response, 200, {});
			}

			return;
		}

		const end = new DelayedCall(runMs, () => {
			this.#finishRun(task, 'done');
		});
		end.start();
		this.#runningTasks.set(task, {
			record,
			needsMillis,
			end,
			handleAnswer() {
				// A repeated start changes nothing.
			},
		});
		this.#respond(response, 200, {});
	}

	/** Extends the lease up to a deadline, by at most `maxLeaseMs`; all runs end when it expires. */
	#extendLease(deadlineMs: number): void {
		const untilMs = Math.min(deadlineMs, this.#clockMs + maxLeaseMs);
		if (untilMs <= this.#leaseUntilMs) {
			return;
		}

		this.#leaseUntilMs = untilMs;
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			for (const task of this.#runningTasks.keys()) {
				this.#finishRun(task, 'lapsed');
			}
		}, untilMs - this.#clockMs);
	}

	/** Ends the run of a task, if there is one, and reports it to the pending hold requests. */
	#finishRun(task: string, outcome: string): void {
		const runningTask = this.#runningTasks.get(task);
		if (runningTask === undefined) {
			return;
		}

		runningTask.end.cancel();
		this.#runningTasks.delete(task);
		runningTask.record.endedAtMs = performance.now();
		runningTask.record.outcome = outcome;
		this.#tombstones.set(
			task,
			Math.max(runningTask.record.run, this.#tombstones.get(task) ?? 0),
		);
		this.#unacknowledgedRuns.push([
			this.#nextSequence,
			task,
			runningTask.record.run,
			outcome,
			'',
		]);
		this.#nextSequence += 1;
		for (const respondToHold of this.#pendingHolds) {
			respondToHold();
		}
	}

	/** Responds with a JSON body that also holds the clock and the start time of the worker. */
	#respond(
		response: ServerResponse,
		status: number,
		body: Readonly<Record<string, unknown>>,
	): void {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(
			JSON.stringify({clockMs: this.#clockMs, born: this.bornMs, ...body}),
		);
	}
}

/** Reads the body of a request; returns `undefined` if the sender closed the connection before its end. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
	try {
		const body = await text(request);
		return request.complete ? body : undefined;
	} catch {
		return undefined;
	}
}
