/** Workers of the users' platform: run tasks under leases and fencing tokens, as its pages describe. */
import {text} from 'node:stream/consumers';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** A run as the worker saw it, for checks. */
export type RecordedRun = {
	readonly task: string;
	readonly run: number;
	readonly startedAtMs: number;
	endedAtMs: number | undefined;
	how: string | undefined;
};

type LiveRun = {
	readonly record: RecordedRun;
	readonly needsMillis: number;
	readonly timer: NodeJS.Timeout;
};

type End = readonly [number, string, number, string, string];

/** Settings of a worker. */
export type WorkerStandInOptions = {
	readonly id: string;
	readonly zone: string;
	readonly service: string;
	readonly processorMillis: number;
	/** Run time of a task in milliseconds, and what it needs; the worker knows both from the task's specification. */
	readonly taskOf: (spec: string) => {
		readonly runMs: number;
		readonly needsMillis: number;
	};
};

const mostLeaseMs = 1000;
const stopMs = 10;

/** One worker. */
export class WorkerStandIn {
	readonly runs: RecordedRun[] = [];
	state: 'ready' | 'draining' = 'ready';
	readonly bornMs = Date.now();
	readonly #server: Server;
	readonly #live = new Map<string, LiveRun>();
	readonly #tombstones = new Map<string, number>();
	#ends: End[] = [];
	#nextEnd = 1;
	#token = 0;
	#leaseUntilMs = 0;
	#leaseTimer: NodeJS.Timeout | undefined;
	readonly #waiting = new Set<() => void>();

	constructor(readonly options: WorkerStandInOptions) {
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Its record in the store. */
	get entry(): string {
		const {service, zone, processorMillis} = this.options;
		return JSON.stringify({
			service,
			address: this.address,
			zone,
			version: 'v1',
			slots: 8,
			state: this.state,
			capacity: {cpu: processorMillis, memMb: 131_072},
			labels: ['a', 'r1-1'],
			born: this.bornMs,
			sequence: 1,
		});
	}

	close(): void {
		clearTimeout(this.#leaseTimer);
		for (const {timer} of this.#live.values()) {
			clearTimeout(timer);
		}

		this.#server.closeAllConnections();
		this.#server.close();
	}

	get #clockMs(): number {
		return Math.floor(performance.now());
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const body = JSON.parse(await text(request)) as Record<string, unknown>;
		const token = Number(body.fencingToken ?? 0);
		if (token < this.#token) {
			this.#answer(response, 409, {reason: 'fence'});
			return;
		}

		this.#token = token;
		switch (request.url ?? '') {
			case '/api/hold': {
				this.#hold(body, response);
				break;
			}

			case '/api/run-start': {
				this.#start(body, response);
				break;
			}

			case '/api/run-stop': {
				const task = String(body.task);
				this.#tombstones.set(task, Number(body.run));
				setTimeout(() => {
					this.#end(task, 'stopped');
				}, stopMs);
				this.#answer(response, 200, {});
				break;
			}

			default: {
				this.#answer(response, 400, {});
			}
		}
	}

	#hold(body: Readonly<Record<string, unknown>>, response: ServerResponse) {
		this.#extend(Number(body.deadlineMs ?? 0));
		const lastSeen = Number(body.lastSeen ?? 0);
		this.#ends = this.#ends.filter(([number]) => number > lastSeen);
		const report = () => {
			clearTimeout(timer);
			this.#waiting.delete(report);
			this.#answer(response, 200, {
				running: [...this.#live.values()].map(({record}) => [
					record.task,
					record.run,
					'',
					100,
				]),
				finished: this.#ends,
			});
		};

		const timer = setTimeout(report, Number(body.waitMs ?? 0));
		if (this.#ends.length > 0) {
			report();
		} else {
			this.#waiting.add(report);
		}
	}

	#start(body: Readonly<Record<string, unknown>>, response: ServerResponse) {
		const task = String(body.task);
		const run = Number(body.run);
		const deadlineMs = Number(body.deadlineMs);
		if (deadlineMs <= this.#clockMs) {
			this.#answer(response, 409, {reason: 'late'});
			return;
		}

		this.#extend(deadlineMs);
		if (this.#live.get(task)?.record.run === run) {
			this.#answer(response, 200, {});
			return;
		}

		if (run <= (this.#tombstones.get(task) ?? 0)) {
			this.#answer(response, 409, {reason: 'old'});
			return;
		}

		const {runMs, needsMillis} = this.options.taskOf(String(body.spec));
		const used = [...this.#live.values()].reduce(
			(sum, live) => sum + live.needsMillis,
			0,
		);
		if (used + needsMillis > this.options.processorMillis) {
			this.#answer(response, 409, {reason: 'room'});
			return;
		}

		const record: RecordedRun = {
			task,
			run,
			startedAtMs: performance.now(),
			endedAtMs: undefined,
			how: undefined,
		};
		this.runs.push(record);
		this.#live.set(task, {
			record,
			needsMillis,
			timer: setTimeout(() => {
				this.#end(task, 'done');
			}, runMs),
		});
		this.#answer(response, 200, {});
	}

	#extend(deadlineMs: number): void {
		const untilMs = Math.min(deadlineMs, this.#clockMs + mostLeaseMs);
		if (untilMs <= this.#leaseUntilMs) {
			return;
		}

		this.#leaseUntilMs = untilMs;
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			for (const task of this.#live.keys()) {
				this.#end(task, 'lapsed');
			}
		}, untilMs - this.#clockMs);
	}

	#end(task: string, how: string): void {
		const live = this.#live.get(task);
		if (live === undefined) {
			return;
		}

		clearTimeout(live.timer);
		this.#live.delete(task);
		live.record.endedAtMs = performance.now();
		live.record.how = how;
		this.#tombstones.set(
			task,
			Math.max(live.record.run, this.#tombstones.get(task) ?? 0),
		);
		this.#ends.push([this.#nextEnd, task, live.record.run, how, '']);
		this.#nextEnd += 1;
		for (const report of this.#waiting) {
			report();
		}
	}

	#answer(
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
