/** Orders to the platform's workers. */
import {Buffer} from 'node:buffer';
import {
	type HoldCommand,
	type ReportedEnd,
	type ReportedRun,
	type CommandOutcome,
	type CommandRefusalReason,
	type RunEndStatus,
	type StartCommand,
	type StopCommand,
	type WorkerEntry,
	type WorkerReport,
} from '@verbenarouter/core';
import {listField, numberField, parseRecord, textOf} from './decode.js';
import {HttpHost, type Exchange} from './http-exchange.js';

/** Connections to one worker: one for reports, the others for orders. */
const connectionsPerWorker = 8;
/** Time after which an order without an answer is sent again; a sound worker answers within a few milliseconds. */
const orderTimeoutMs = 50;
/** Time beyond the asked wait after which a report counts as lost. */
const reportSlackMs = 60;
/** Hosts of workers that are no longer used are closed after this time. */
const unusedMs = 30_000;

/** The platform's words for why a worker did nothing. */
const refusals: Readonly<Record<string, CommandRefusalReason>> = {
	fence: 'fenced',
	old: 'old-run',
	late: 'late',
	room: 'no-room',
};

/** The platform's words for how a run ended; `alone` is said only of gangs. */
const ends: Readonly<Record<string, RunEndStatus>> = {
	done: 'done',
	failed: 'failed',
	stopped: 'stopped',
	lapsed: 'lapsed',
	broken: 'broken',
	alone: 'broken',
};

type HostInUse = {readonly host: HttpHost; usedAtMs: number};

/** Sends orders to workers over HTTP. */
export class WorkerClient {
	readonly #hosts = new Map<string, HostInUse>();
	readonly #now: () => number;

	/** `now` reads a clock that never jumps, in milliseconds. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** Extends the lease and asks for the lists of runs. */
	async hold(order: HoldCommand): Promise<CommandOutcome> {
		const exchange = await this.#post(
			order.worker,
			'/api/hold',
			{
				fencingToken: order.fencingToken,
				lastSeen: order.acknowledgedEndNumber,
				waitMs: order.maxReportDelayMs,
				...(order.leaseExpiresAtMs === undefined
					? {}
					: {deadlineMs: order.leaseExpiresAtMs}),
			},
			order.maxReportDelayMs + reportSlackMs,
		);
		return decodeOutcome(exchange, true);
	}

	/** Starts a run. */
	async start(order: StartCommand): Promise<CommandOutcome> {
		const exchange = await this.#post(
			order.worker,
			'/api/run-start',
			{
				task: order.task,
				run: order.run,
				spec: order.spec,
				deadlineMs: order.leaseExpiresAtMs,
				fencingToken: order.fencingToken,
			},
			orderTimeoutMs,
		);
		return decodeOutcome(exchange, false);
	}

	/** Stops a run. */
	async stop(order: StopCommand): Promise<CommandOutcome> {
		const exchange = await this.#post(
			order.worker,
			'/api/run-stop',
			{task: order.task, run: order.run, fencingToken: order.fencingToken},
			orderTimeoutMs,
		);
		return decodeOutcome(exchange, false);
	}

	/** Closes connections to workers that have had no order for a while. */
	closeUnused(): void {
		for (const [address, {host, usedAtMs}] of this.#hosts) {
			if (this.#now() - usedAtMs > unusedMs) {
				host.close();
				this.#hosts.delete(address);
			}
		}
	}

	/** Closes all connections. */
	closeAll(): void {
		for (const {host} of this.#hosts.values()) {
			host.close();
		}

		this.#hosts.clear();
	}

	async #post(
		worker: WorkerEntry,
		path: string,
		body: Readonly<Record<string, unknown>>,
		timeoutMs: number,
	): Promise<Exchange> {
		const known = this.#hosts.get(worker.address) ?? {
			host: new HttpHost(worker.address, connectionsPerWorker),
			usedAtMs: 0,
		};
		known.usedAtMs = this.#now();
		this.#hosts.set(worker.address, known);
		return known.host.exchange({
			method: 'POST',
			path,
			headers: {
				'content-type': 'application/json',
				'x-expect-instance': worker.id,
			},
			body: Buffer.from(JSON.stringify(body)),
			timeoutMs,
		});
	}
}

function decodeOutcome(exchange: Exchange, isReport: boolean): CommandOutcome {
	if (exchange.kind !== 'answered') {
		return {kind: exchange.kind};
	}

	const record = parseRecord(textOf(exchange.body)) ?? {};
	const clockMs = numberField(record, 'clockMs');
	switch (exchange.status) {
		case 200: {
			if (clockMs === undefined) {
				return {kind: 'silent'};
			}

			return {
				kind: 'done',
				clockMs,
				...(isReport ? {report: decodeReport(record, clockMs)} : {}),
			};
		}

		case 409: {
			return {
				kind: 'refused',
				reason: refusals[String(record.reason)] ?? 'malformed',
				...(clockMs === undefined ? {} : {clockMs}),
			};
		}

		case 421: {
			return {kind: 'refused', reason: 'other-incarnation'};
		}

		case 429:
		case 503: {
			return {kind: 'refused', reason: 'unhealthy'};
		}

		case 400: {
			return {kind: 'refused', reason: 'malformed'};
		}

		default: {
			// No page tells what other statuses mean for the order, so it may have been carried out.
			return {kind: 'silent'};
		}
	}
}

function decodeReport(
	record: Readonly<Record<string, unknown>>,
	clockMs: number,
): WorkerReport {
	return {
		clockMs,
		bornMs: numberField(record, 'born', 0) ?? 0,
		running: listField(record, 'running').flatMap((row) => decodeRun(row)),
		// `finished` holds every end that has not been forgotten, however the run ended.
		ended: listField(record, 'finished').flatMap((row) => decodeEnd(row)),
	};
}

/** Column of a run's rough processor use. */
const processorColumn = 4;

/** A row of task, run, checkpoint, percent and, from some workers, the processor use. */
function decodeRun(row: unknown): readonly ReportedRun[] {
	if (!Array.isArray(row)) {
		return [];
	}

	const [task, run] = row as readonly unknown[];
	const processorMillis: unknown = row[processorColumn];
	return typeof task === 'string' && typeof run === 'number'
		? [
				{
					task,
					run,
					...(typeof processorMillis === 'number' ? {processorMillis} : {}),
				},
			]
		: [];
}

/** A row of number, task, run, how it ended, and checkpoint. */
function decodeEnd(row: unknown): readonly ReportedEnd[] {
	if (!Array.isArray(row)) {
		return [];
	}

	const [number, task, run, word] = row as readonly unknown[];
	const how = ends[String(word)];
	return typeof number === 'number' &&
		typeof task === 'string' &&
		typeof run === 'number' &&
		how !== undefined
		? [{number, task, run, how}]
		: [];
}
