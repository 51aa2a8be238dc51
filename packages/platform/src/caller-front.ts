/** The platform's interface for callers: submits jobs, tells their state and cancels them. */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	findQueue,
	type DesiredState,
	type PoolAnswer,
	type PoolJob,
	type QueueSetting,
} from '@verbenarouter/core';
import {decodeJob, encodeAnswer, type EncodedAnswer} from './job-record.js';

/** What the front asks of the dispatcher. */
export type JobIntake = {
	/** The desired state in force; `undefined` before the first. */
	desiredState(): DesiredState | undefined;
	/** The first desired state; `undefined` when it does not come in time. */
	firstDesiredState(): Promise<DesiredState | undefined>;
	/** Runs a job; resolves with its answer, and never rejects. */
	submit(job: Omit<PoolJob, 'attempt'>): Promise<PoolAnswer>;
	/** The caller's connection has ended before the answer. */
	abandon(id: string, isReset: boolean): void;
	/** Cancels a job; resolves with whether it was known. */
	cancel(id: string): Promise<boolean>;
	/** State of a job; `undefined` when it is not known. */
	stateOf(id: string): Promise<string | undefined>;
	/** Jobs of a queue of which no task has started; `undefined` when that is not known. */
	pendingCount(queue: string): Promise<number | undefined>;
	/** Whether connections should end after their present request. */
	isStopping(): boolean;
	/** A request was refused before it became a job. */
	rejected(id: string, status: number, reason: string): void;
};

/** Patience of callers that do not tell theirs. */
const defaultPatienceMs = 30_000;
const defaultBodyBytes = 262_144;
const defaultRetryMs = 1000;
const identifierForm = /^[\da-f]{16}$/v;

/** Creates the server; the caller listens. */
export function createCallerFront(intake: JobIntake): Server {
	return createServer(
		{keepAliveTimeout: 0, requestTimeout: 0},
		(request, response) => {
			const state = intake.desiredState();
			if (state !== undefined) {
				dispatch(intake, request, response, state);
				return;
			}

			void (async () => {
				// A new process knows it within milliseconds, and a caller that is refused may not come back.
				const first = await intake.firstDesiredState();
				if (first === undefined) {
					refuseWithoutState(intake, request, response);
				} else {
					dispatch(intake, request, response, first);
				}
			})();
		},
	);
}

function refuseWithoutState(
	intake: JobIntake,
	request: IncomingMessage,
	response: ServerResponse,
): void {
	request.resume();
	intake.rejected(request.url ?? '/', 503, 'no-desired-state');
	send(intake, response, {
		status: 503,
		body: '{"error":"not run: no desired state is known yet"}',
		retryAfterMs: defaultRetryMs,
	});
}

function dispatch(
	intake: JobIntake,
	request: IncomingMessage,
	response: ServerResponse,
	state: DesiredState,
): void {
	const path = request.url ?? '/';
	const queue = findQueue(state, request.headers.host ?? '', path);
	if (queue === undefined) {
		request.resume();
		intake.rejected(path, 404, 'queue-unknown');
		send(intake, response, {
			status: 404,
			body: '{"error":"not run: no queue has this host and path"}',
		});
		return;
	}

	route(intake, request, response, queue, path.slice(queue.pathPrefix.length));
}

function route(
	intake: JobIntake,
	request: IncomingMessage,
	response: ServerResponse,
	queue: QueueSetting,
	id: string,
): void {
	switch (request.method ?? 'GET') {
		case 'POST': {
			readBody(intake, request, response, (text) => {
				submit(intake, request, response, {queue, id, text});
			});
			break;
		}

		case 'GET': {
			request.resume();
			void (id === ''
				? sendPending(intake, response, queue)
				: sendState(intake, response, id));
			break;
		}

		case 'DELETE': {
			request.resume();
			void sendCancelled(intake, response, id);
			break;
		}

		default: {
			request.resume();
			send(intake, response, {status: 405, body: '{"error":"unknown method"}'});
		}
	}
}

function readBody(
	intake: JobIntake,
	request: IncomingMessage,
	response: ServerResponse,
	onText: (text: string) => void,
): void {
	const mostBytes = intake.desiredState()?.limits.bodyBytes ?? defaultBodyBytes;
	const chunks: Uint8Array[] = [];
	let length = 0;
	request.on('data', (chunk: Uint8Array) => {
		length += chunk.length;
		if (length <= mostBytes) {
			chunks.push(chunk);
		}
	});
	request.on('end', () => {
		if (length > mostBytes) {
			intake.rejected(request.url ?? '', 413, 'body-too-large');
			send(intake, response, {
				status: 413,
				body: `{"error":"not run: the body is over ${mostBytes} bytes"}`,
			});
		} else {
			onText(Buffer.concat(chunks).toString('utf8'));
		}
	});
}

function submit(
	intake: JobIntake,
	request: IncomingMessage,
	response: ServerResponse,
	{
		queue,
		id,
		text,
	}: {readonly queue: QueueSetting; readonly id: string; readonly text: string},
): void {
	const decoded = identifierForm.test(id)
		? decodeJob(id, queue, text, patienceOf(request))
		: undefined;
	if (decoded === undefined || decoded.isErr()) {
		const message =
			decoded === undefined
				? 'the path must end with 16 hexadecimal digits'
				: decoded.error.message;
		const status = decoded?.error.kind === 'unsupported' ? 503 : 400;
		intake.rejected(id, status, message);
		send(intake, response, {
			status,
			body: JSON.stringify({error: `not run: ${message}`}),
		});
		return;
	}

	response.on('close', () => {
		if (!response.writableFinished) {
			intake.abandon(id, request.socket.errored !== null);
		}
	});
	void (async () => {
		const answer = await intake.submit(decoded.value);
		if (!response.destroyed) {
			send(intake, response, encodeAnswer(answer));
		}
	})();
}

function patienceOf(request: IncomingMessage): number {
	const patienceMs = Number(request.headers['x-deadline-ms']);
	return Number.isFinite(patienceMs) && patienceMs > 0
		? patienceMs
		: defaultPatienceMs;
}

async function sendPending(
	intake: JobIntake,
	response: ServerResponse,
	queue: QueueSetting,
): Promise<void> {
	const pending = await intake.pendingCount(queue.name);
	send(
		intake,
		response,
		pending === undefined
			? {
					status: 503,
					body: '{"error":"no leader is known"}',
					retryAfterMs: defaultRetryMs,
				}
			: {status: 200, body: JSON.stringify({pending})},
	);
}

async function sendState(
	intake: JobIntake,
	response: ServerResponse,
	id: string,
): Promise<void> {
	const state = await intake.stateOf(id);
	send(
		intake,
		response,
		state === undefined
			? {status: 410, body: '{"error":"no such job"}'}
			: {status: 200, body: JSON.stringify({state})},
	);
}

async function sendCancelled(
	intake: JobIntake,
	response: ServerResponse,
	id: string,
): Promise<void> {
	const isKnown = await intake.cancel(id);
	send(intake, response, {status: isKnown ? 200 : 410, body: '{}'});
}

function send(
	intake: JobIntake,
	response: ServerResponse,
	{status, body, retryAfterMs}: EncodedAnswer,
): void {
	const bytes = Buffer.from(body);
	const headers: Record<string, string | number> = {
		'content-type': 'application/json',
		'content-length': bytes.length,
	};
	if (retryAfterMs !== undefined) {
		headers['retry-after'] = Math.ceil(retryAfterMs / 1000);
	}

	if (intake.isStopping()) {
		headers.connection = 'close';
	}

	response.writeHead(status, headers);
	response.end(bytes);
}
