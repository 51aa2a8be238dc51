import {createServer, type Server, type ServerResponse} from 'node:http';
import {type ReportedEnd} from '@verbenarouter/core';
import {parseJsonObject, decodeUtf8} from './decode.js';
import {type HttpExchangeRequest} from './http-exchange.js';

/** Processor need of a warm-up task, in thousandths of a core. */
export const warmUpTaskProcessorMillis = 27_000;
/** Run time of each task. */
const runMs = 8;
/** Number of latest ends in a report. Real workers repeat ends in their reports until these are acknowledged. */
const maxReportedEnds = 6;
/** Memory need of each task. */
const memoryMb = 64;
const wideJobTasks = 8;
const narrowJobTasks = 2;

/**
 * HTTP server that simulates all workers of a warm-up, in which an entry VM runs synthetic jobs. Each run is reported done
 * after a few milliseconds. The calling code binds the server to an address.
 */
export class SimulatedWorkers {
	readonly server: Server;
	readonly #endsByWorker = new Map<string, ReportedEnd[]>();
	readonly #pendingReports = new Map<string, () => void>();

	constructor() {
		this.server = createServer((request, response) => {
			const worker = String(request.headers['x-expect-instance']);
			const chunks: Uint8Array[] = [];
			request.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				const body = parseJsonObject(
					chunks.map((chunk) => decodeUtf8(chunk)).join(''),
				);
				if (request.url === '/api/hold') {
					this.#sendReport(worker, Number(body?.waitMs), response);
				} else {
					this.#startRun(worker, String(body?.task));
					sendJson(response, {clockMs: Math.floor(performance.now())});
				}
			});
		});
	}

	#startRun(worker: string, task: string): void {
		setTimeout(() => {
			const ended = this.#endsByWorker.get(worker) ?? [];
			ended.push({number: ended.length + 1, task, run: 1, how: 'done'});
			this.#endsByWorker.set(worker, ended);
			this.#pendingReports.get(worker)?.();
		}, runMs);
	}

	#sendReport(worker: string, waitMs: number, response: ServerResponse): void {
		const respond = () => {
			clearTimeout(timer);
			this.#pendingReports.delete(worker);
			sendJson(response, {
				clockMs: Math.floor(performance.now()),
				born: 1,
				running: [],
				finished: (this.#endsByWorker.get(worker) ?? [])
					.slice(-maxReportedEnds)
					.map(({number, task, run, how}) => [number, task, run, how, '']),
			});
		};

		const timer = setTimeout(respond, waitMs);
		this.#pendingReports.set(worker, respond);
	}
}

/** Creates a caller's request to submit a synthetic job; every third job has more tasks. */
export function createWarmUpRequest(
	host: string,
	pathPrefix: string,
	jobNumber: number,
	timeoutMs: number,
): HttpExchangeRequest {
	return {
		method: 'POST',
		path: pathPrefix + jobNumber.toString(16).padStart(16, '0'),
		headers: {host, 'x-deadline-ms': String(timeoutMs)},
		body: JSON.stringify({
			spec: '',
			bestEffort: true,
			steps: [
				{
					count: jobNumber % 3 === 0 ? wideJobTasks : narrowJobTasks,
					cpu: warmUpTaskProcessorMillis,
					memMb: memoryMb,
					estimatedMs: runMs,
				},
			],
		}),
		timeoutMs,
	};
}

function sendJson(response: ServerResponse, body: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
