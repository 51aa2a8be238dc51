/** The platform's side of a rehearsal: workers that end every run after a few milliseconds, and the requests of callers. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type ReportedEnd} from '@verbenarouter/core';
import {parseRecord, textOf} from './decode.js';
import {type ExchangeRequest} from './http-exchange.js';

/** What a task of a rehearsal needs, in thousandths of a core. */
export const rehearsalNeedsMillis = 27_000;
const runMs = 8;
/** Ends that a report lists again, as workers do until they are told to forget them. */
const listedEnds = 6;
const memoryMb = 64;
const wideCount = 8;
const narrowCount = 2;

/** Workers of a rehearsal, behind one address; the caller listens. */
export class RehearsalWorkers {
	readonly server: Server;
	readonly #ended = new Map<string, ReportedEnd[]>();
	readonly #waiting = new Map<string, () => void>();

	constructor() {
		this.server = createServer((request, response) => {
			const worker = String(request.headers['x-expect-instance']);
			const chunks: Uint8Array[] = [];
			request.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				const body = parseRecord(chunks.map((chunk) => textOf(chunk)).join(''));
				if (request.url === '/api/hold') {
					this.#hold(worker, Number(body?.waitMs), response);
				} else {
					this.#start(worker, String(body?.task));
					send(response, {clockMs: Math.floor(performance.now())});
				}
			});
		});
	}

	#start(worker: string, task: string): void {
		setTimeout(() => {
			const ended = this.#ended.get(worker) ?? [];
			ended.push({number: ended.length + 1, task, run: 1, how: 'done'});
			this.#ended.set(worker, ended);
			this.#waiting.get(worker)?.();
		}, runMs);
	}

	#hold(worker: string, waitMs: number, response: ServerResponse): void {
		const answer = () => {
			clearTimeout(timer);
			this.#waiting.delete(worker);
			send(response, {
				clockMs: Math.floor(performance.now()),
				born: 1,
				running: [],
				finished: (this.#ended.get(worker) ?? [])
					.slice(-listedEnds)
					.map(({number, task, run, how}) => [number, task, run, how, '']),
			});
		};

		const timer = setTimeout(answer, waitMs);
		this.#waiting.set(worker, answer);
	}
}

/** The request of a caller for a made-up job: one in three is wide. */
export function rehearsalRequest(
	host: string,
	prefix: string,
	job: number,
	timeoutMs: number,
): ExchangeRequest {
	return {
		method: 'POST',
		path: prefix + job.toString(16).padStart(16, '0'),
		headers: {host, 'x-deadline-ms': String(timeoutMs)},
		body: JSON.stringify({
			spec: '',
			bestEffort: true,
			steps: [
				{
					count: job % 3 === 0 ? wideCount : narrowCount,
					cpu: rehearsalNeedsMillis,
					memMb: memoryMb,
					estimatedMs: runMs,
				},
			],
		}),
		timeoutMs,
	};
}

function send(response: ServerResponse, body: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
