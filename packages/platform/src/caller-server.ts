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
import {decodeJob, encodeAnswer, type EncodedResponse} from './job-record.js';
import {OpenRequests, isLastOnConnection} from './open-requests.js';

/**
 * What has become of a job that a caller cancels.
 *
 * - `cancelled`: nothing of it is started any more.
 * - `unknown`: there is no such job, or it has ended.
 * - `unconfirmed`: a leader that may have it has not replied, and is told of the cancelling as soon as it can be reached.
 */
export type CancelOutcome = 'cancelled' | 'unknown' | 'unconfirmed';

/** The dispatcher as used by the server for callers. */
export type JobDispatcher = {
	/** Returns the current desired state; `undefined` before the first one is received. */
	desiredState(): DesiredState | undefined;
	/** Waits for the first desired state; resolves with `undefined` on timeout. */
	waitForDesiredState(): Promise<DesiredState | undefined>;
	/** Runs a job and resolves with its answer; never rejects. */
	submit(job: Omit<PoolJob, 'attempt'>): Promise<PoolAnswer>;
	/** Handles that the caller's connection closed before the response; `isReset` if it closed with an error. */
	handleCallerDisconnect(id: string, isReset: boolean): void;
	/** Cancels a job. */
	cancel(id: string): Promise<CancelOutcome>;
	/** Returns the state of a job; `undefined` if there is no such job. */
	getJobState(id: string): Promise<string | undefined>;
	/** Counts the jobs of a queue of which no task has started; `undefined` if there is no leader or it does not reply. */
	countPendingJobs(queue: string): Promise<number | undefined>;
	/** Whether the process is shutting down, so that each connection closes after its current response. */
	isStopping(): boolean;
	/**
	 * Whether a request that has just been read is handled. `id` is the job's identifier or the request's path, `needsMs` the
	 * time until its response as far as known.
	 */
	acceptsRequest(id: string, needsMs: number): boolean;
	/** Handles that a request was refused before a job was created. `id` is the job's identifier or the request's path. */
	handleRejectedRequest(id: string, status: number, reason: string): void;
};

/** Time for which a caller waits in total, if the request has no valid `x-deadline-ms` header. */
const defaultCallerTimeoutMs = 30_000;
/** Longest time for which a caller waits. */
const maxCallerTimeoutMs = 86_400_000;
/** Limit of a request's body while no desired state is known. */
const defaultMaxBodyBytes = 262_144;
/** Delay after which a caller retries if the dispatcher has no desired state or no leader. */
const defaultRetryAfterMs = 1000;
/** Time for which a request without a desired state waits for the first one. */
const firstStateWaitMs = 400;
const cancelStatuses = {
	cancelled: 200,
	unconfirmed: 202,
	unknown: 410,
} as const satisfies Readonly<Record<CancelOutcome, number>>;
const jobIdPattern = /^[\da-f]{16}$/v;

/**
 * Creates the server of the platform's interface for callers, which submits and cancels jobs and returns their state. The
 * calling code binds it to an address. `openRequests` receives the requests without a complete response.
 */
export function createCallerServer(
	dispatcher: JobDispatcher,
	openRequests = new OpenRequests(),
): Server {
	return createServer(
		{keepAliveTimeout: 0, requestTimeout: 0},
		(request, response) => {
			openRequests.add(request, response);
			const state = dispatcher.desiredState();
			if (state !== undefined) {
				handleRequest(dispatcher, request, response, state);
				return;
			}

			if (!dispatcher.acceptsRequest(request.url ?? '/', firstStateWaitMs)) {
				refuseAtStop(dispatcher, request, response);
				return;
			}

			void (async () => {
				// A new process receives its desired state within milliseconds, and callers may not retry after a refusal.
				const firstState = await dispatcher.waitForDesiredState();
				if (response.headersSent) {
					return;
				}

				if (firstState === undefined) {
					refuseWithoutDesiredState(dispatcher, request, response);
				} else {
					handleRequest(dispatcher, request, response, firstState);
				}
			})();
		},
	);
}

/** Refuses the requests that have no response when the process is about to end. */
export function refuseOpenRequests(
	dispatcher: JobDispatcher,
	openRequests: OpenRequests,
): void {
	for (const {request, response} of openRequests.withoutResponse) {
		refuseAtStop(dispatcher, request, response);
	}
}

function refuseAtStop(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
): void {
	request.resume();
	dispatcher.handleRejectedRequest(request.url ?? '/', 503, 'stopping');
	sendResponse(dispatcher, response, {
		status: 503,
		body: '{"error":"not run: this entry VM is stopping"}',
		retryAfterMs: defaultRetryAfterMs,
	});
}

function refuseWithoutDesiredState(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
): void {
	request.resume();
	dispatcher.handleRejectedRequest(request.url ?? '/', 503, 'no-desired-state');
	sendResponse(dispatcher, response, {
		status: 503,
		body: '{"error":"not run: no desired state is known yet"}',
		retryAfterMs: defaultRetryAfterMs,
	});
}

function handleRequest(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
	state: DesiredState,
): void {
	const path = request.url ?? '/';
	const queue = findQueue(state, request.headers.host ?? '', path);
	if (queue === undefined) {
		request.resume();
		dispatcher.handleRejectedRequest(path, 404, 'queue-unknown');
		sendResponse(dispatcher, response, {
			status: 404,
			body: '{"error":"not run: no queue has this host and path"}',
		});
		return;
	}

	handleQueueRequest(
		dispatcher,
		request,
		response,
		queue,
		path.slice(queue.pathPrefix.length),
	);
}

function handleQueueRequest(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
	queue: QueueSetting,
	id: string,
): void {
	const {method = 'GET'} = request;
	if (method !== 'POST' && !dispatcher.acceptsRequest(request.url ?? '/', 0)) {
		refuseAtStop(dispatcher, request, response);
		return;
	}

	switch (method) {
		case 'POST': {
			readBody(dispatcher, request, response, (text) => {
				submitJob(dispatcher, request, response, {queue, id, text});
			});
			break;
		}

		case 'GET': {
			request.resume();
			void (id === ''
				? sendPendingJobCount(dispatcher, response, queue)
				: sendJobState(dispatcher, response, id));
			break;
		}

		case 'DELETE': {
			request.resume();
			void cancelJob(dispatcher, response, id);
			break;
		}

		default: {
			request.resume();
			sendResponse(dispatcher, response, {
				status: 405,
				body: '{"error":"unknown method"}',
			});
		}
	}
}

function readBody(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
	onText: (text: string) => void,
): void {
	const maxBytes =
		dispatcher.desiredState()?.limits.bodyBytes ?? defaultMaxBodyBytes;
	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	request.on('data', (chunk: Uint8Array) => {
		receivedBytes += chunk.length;
		if (receivedBytes <= maxBytes) {
			chunks.push(chunk);
		}
	});
	request.on('end', () => {
		if (response.headersSent) {
			return;
		}

		if (receivedBytes > maxBytes) {
			dispatcher.handleRejectedRequest(
				request.url ?? '',
				413,
				'body-too-large',
			);
			sendResponse(dispatcher, response, {
				status: 413,
				body: `{"error":"not run: the body is over ${maxBytes} bytes"}`,
			});
		} else {
			onText(Buffer.concat(chunks).toString('utf8'));
		}
	});
}

function submitJob(
	dispatcher: JobDispatcher,
	request: IncomingMessage,
	response: ServerResponse,
	{
		queue,
		id,
		text,
	}: {readonly queue: QueueSetting; readonly id: string; readonly text: string},
): void {
	const decoded = jobIdPattern.test(id)
		? decodeJob(id, queue, text, parseCallerTimeoutMs(request))
		: undefined;
	if (decoded === undefined || decoded.isErr()) {
		const message =
			decoded === undefined
				? 'the path must end with 16 hexadecimal digits'
				: decoded.error.message;
		const status = decoded?.error.kind === 'unsupported' ? 503 : 400;
		dispatcher.handleRejectedRequest(id, status, message);
		sendResponse(dispatcher, response, {
			status,
			body: JSON.stringify({error: `not run: ${message}`}),
		});
		return;
	}

	const longestMs = Math.max(
		...decoded.value.tasks.map(({declaredMs}) => declaredMs),
	);
	if (!dispatcher.acceptsRequest(id, longestMs)) {
		refuseAtStop(dispatcher, request, response);
		return;
	}

	response.on('close', () => {
		if (!response.writableFinished) {
			dispatcher.handleCallerDisconnect(id, request.socket.errored !== null);
		}
	});
	void (async () => {
		const answer = await dispatcher.submit(decoded.value);
		sendResponse(dispatcher, response, encodeAnswer(answer));
	})();
}

function parseCallerTimeoutMs(request: IncomingMessage): number {
	const callerTimeoutMs = Number(request.headers['x-deadline-ms']);
	return Number.isFinite(callerTimeoutMs) && callerTimeoutMs > 0
		? Math.min(callerTimeoutMs, maxCallerTimeoutMs)
		: defaultCallerTimeoutMs;
}

async function sendPendingJobCount(
	dispatcher: JobDispatcher,
	response: ServerResponse,
	queue: QueueSetting,
): Promise<void> {
	const pending = await dispatcher.countPendingJobs(queue.name);
	sendResponse(
		dispatcher,
		response,
		pending === undefined
			? {
					status: 503,
					body: '{"error":"no leader is known"}',
					retryAfterMs: defaultRetryAfterMs,
				}
			: {status: 200, body: JSON.stringify({pending})},
	);
}

async function sendJobState(
	dispatcher: JobDispatcher,
	response: ServerResponse,
	id: string,
): Promise<void> {
	const state = await dispatcher.getJobState(id);
	sendResponse(
		dispatcher,
		response,
		state === undefined
			? {status: 410, body: '{"error":"no such job"}'}
			: {status: 200, body: JSON.stringify({state})},
	);
}

async function cancelJob(
	dispatcher: JobDispatcher,
	response: ServerResponse,
	id: string,
): Promise<void> {
	const outcome = await dispatcher.cancel(id);
	sendResponse(dispatcher, response, {
		status: cancelStatuses[outcome],
		body: '{}',
	});
}

function sendResponse(
	dispatcher: JobDispatcher,
	response: ServerResponse,
	{status, body, retryAfterMs}: EncodedResponse,
): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const bytes = Buffer.from(body);
	const headers: Record<string, string | number> = {
		'content-type': 'application/json',
		'content-length': bytes.length,
	};
	if (retryAfterMs !== undefined) {
		headers['retry-after'] = Math.ceil(retryAfterMs / 1000);
	}

	if (dispatcher.isStopping() && isLastOnConnection(response)) {
		headers.connection = 'close';
	}

	response.writeHead(status, headers);
	response.end(bytes);
}
