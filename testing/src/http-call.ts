/** Functions for tests: HTTP calls with JSON bodies, and waiting for conditions. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const pollIntervalMs = 20;

/** An HTTP answer. */
export type HttpAnswer<T> = {
	readonly status: number;
	readonly body: T;
	readonly headers: Readonly<Record<string, unknown>>;
};

/** Waits until a condition holds; the test's own time limit ends a wait in vain. */
export async function until(condition: () => Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- each look waits for the one before
	while (!(await condition())) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** An HTTP request with a JSON body. */
export type HttpRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly url: string;
	readonly body?: unknown;
	readonly token?: string | undefined;
	/** Ends the call: the client goes away without its answer. */
	readonly signal?: AbortSignal | undefined;
};

/** One HTTP call with a JSON body. */
export async function call<T>(
	method: HttpRequest['method'],
	url: string,
	body?: unknown,
	token?: string,
): Promise<HttpAnswer<T>> {
	return send<T>({method, url, body, token});
}

/** Sends a request and waits for its answer. */
export async function send<T>({
	method,
	url,
	body,
	token,
	signal,
}: HttpRequest): Promise<HttpAnswer<T>> {
	const answer = await request(url, {
		method,
		...(signal === undefined ? {} : {signal}),
		headers: {
			...(body === undefined ? {} : {'content-type': 'application/json'}),
			...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
		},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	return {
		status: answer.statusCode,
		body: (await answer.body.json()) as T,
		headers: answer.headers,
	};
}
