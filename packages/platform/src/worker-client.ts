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
import {
	listField,
	nonNegativeField,
	parseJsonObject,
	decodeUtf8,
} from './decode.js';
import {
	HttpHostClient,
	type HttpExchangeOutcome,
	type HttpExchangeRequest,
} from './http-exchange.js';

/** Maximum number of connections to a worker: one for reports, the others for commands. */
const connectionsPerWorker = 8;
/** Timeout of a start or stop command, after which it is retried; a healthy worker responds within a few milliseconds. */
const commandTimeoutMs = 50;
/** Time after the timeout of a start command in which a late confirmation still counts. */
const lateStartMs = 100;
/** Time after the requested report delay at which a report counts as lost. */
const reportTimeoutMarginMs = 60;
/** Time without a command after which the connections to a worker are closed. */
const unusedHostTimeoutMs = 30_000;

/** Refusal reasons by their codes on the platform's interface. */
const refusalReasons: Readonly<Record<string, CommandRefusalReason>> = {
	fence: 'fenced',
	old: 'old-run',
	late: 'late',
	room: 'no-room',
};

/** End statuses of runs by their codes on the platform's interface; only tasks of a gang end as `alone`. */
const endStatuses: Readonly<Record<string, RunEndStatus>> = {
	done: 'done',
	failed: 'failed',
	stopped: 'stopped',
	lapsed: 'lapsed',
	broken: 'broken',
	alone: 'broken',
};

/** Connections to a worker and the time of the last command to it. */
type HostEntry = {readonly client: HttpHostClient; usedAtMs: number};

/** Sends commands to the platform's workers over HTTP. */
export class WorkerClient {
	readonly #hosts = new Map<string, HostEntry>();
	readonly #now: () => number;

	/** `now` returns the time of a monotonic clock, in milliseconds. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** Extends the lease, if the command has an expiry, and requests a report on the worker's runs. */
	async hold(command: HoldCommand): Promise<CommandOutcome> {
		const exchange = await this.#post(
			command.worker,
			'/api/hold',
			{
				fencingToken: command.fencingToken,
				lastSeen: command.acknowledgedEndNumber,
				waitMs: command.maxReportDelayMs,
				...(command.leaseExpiresAtMs === undefined
					? {}
					: {deadlineMs: command.leaseExpiresAtMs}),
			},
			command.maxReportDelayMs + reportTimeoutMarginMs,
		);
		return decodeOutcome(exchange, true);
	}

	/**
	 * Starts a run. `maySend` is called when the command is about to leave, and keeps it back by returning false; `handleLate`
	 * handles an answer that comes after the call has ended as `silent`.
	 */
	async start(
		command: StartCommand,
		handleLate: (outcome: CommandOutcome) => void,
		maySend?: () => boolean,
	): Promise<CommandOutcome> {
		const exchange = await this.#post(
			command.worker,
			'/api/run-start',
			{
				task: command.task,
				run: command.run,
				spec: command.spec,
				deadlineMs: command.leaseExpiresAtMs,
				fencingToken: command.fencingToken,
			},
			commandTimeoutMs,
			{
				late: {
					forMs: lateStartMs,
					handleResponse(response) {
						handleLate(decodeOutcome(response, false));
					},
				},
				...(maySend === undefined ? {} : {maySend}),
			},
		);
		return decodeOutcome(exchange, false);
	}

	/** Stops a run. */
	async stop(command: StopCommand): Promise<CommandOutcome> {
		const exchange = await this.#post(
			command.worker,
			'/api/run-stop',
			{
				task: command.task,
				run: command.run,
				fencingToken: command.fencingToken,
			},
			commandTimeoutMs,
		);
		return decodeOutcome(exchange, false);
	}

	/** Closes the connections to workers that have received no command for 30 seconds. */
	closeUnusedConnections(): void {
		for (const [address, {client, usedAtMs}] of this.#hosts) {
			if (this.#now() - usedAtMs > unusedHostTimeoutMs) {
				client.close();
				this.#hosts.delete(address);
			}
		}
	}

	/** Closes all connections; commands in progress fail. */
	close(): void {
		for (const {client} of this.#hosts.values()) {
			client.close();
		}

		this.#hosts.clear();
	}

	async #post(
		worker: WorkerEntry,
		path: string,
		body: Readonly<Record<string, unknown>>,
		timeoutMs: number,
		hooks: Pick<HttpExchangeRequest, 'late' | 'maySend'> = {},
	): Promise<HttpExchangeOutcome> {
		const entry = this.#hosts.get(worker.address) ?? {
			client: new HttpHostClient(worker.address, connectionsPerWorker),
			usedAtMs: 0,
		};
		entry.usedAtMs = this.#now();
		this.#hosts.set(worker.address, entry);
		return entry.client.exchange({
			method: 'POST',
			path,
			headers: {
				'content-type': 'application/json',
				'x-expect-instance': worker.id,
			},
			body: Buffer.from(JSON.stringify(body)),
			timeoutMs,
			...hooks,
		});
	}
}

function decodeOutcome(
	exchange: HttpExchangeOutcome,
	isReport: boolean,
): CommandOutcome {
	if (exchange.kind === 'not-sent') {
		return {
			kind: 'not-sent',
			isRefused: exchange.isRefused,
			...(exchange.isOutdated === true ? {isOutdated: true} : {}),
		};
	}

	if (exchange.kind === 'silent') {
		return {kind: 'silent'};
	}

	const record = parseJsonObject(decodeUtf8(exchange.body)) ?? {};
	const clockMs = nonNegativeField(record, 'clockMs');
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
				reason: refusalReasons[String(record.reason)] ?? 'malformed',
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
			// The platform's documentation does not define other statuses, so the worker may have executed the command.
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
		bornMs: nonNegativeField(record, 'born', 0) ?? 0,
		running: listField(record, 'running').flatMap((row) => decodeRunRow(row)),
		// `finished` lists all ends that the worker still retains, whatever their status.
		ended: listField(record, 'finished').flatMap((row) => decodeEndRow(row)),
	};
}

/** Index of the approximate processor use in a row of a running run, in thousandths of a core. */
const processorMillisColumn = 4;

/** Decodes a row of task, run, checkpoint, percentage and, from some workers, processor use; empty if invalid. */
function decodeRunRow(row: unknown): readonly ReportedRun[] {
	if (!Array.isArray(row)) {
		return [];
	}

	const [task, run] = row as readonly unknown[];
	const processorMillis: unknown = row[processorMillisColumn];
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

/** Decodes a row of number, task, run, end status and checkpoint; empty if invalid. */
function decodeEndRow(row: unknown): readonly ReportedEnd[] {
	if (!Array.isArray(row)) {
		return [];
	}

	const [number, task, run, status] = row as readonly unknown[];
	const how = endStatuses[String(status)];
	return typeof number === 'number' &&
		typeof task === 'string' &&
		typeof run === 'number' &&
		how !== undefined
		? [{number, task, run, how}]
		: [];
}
