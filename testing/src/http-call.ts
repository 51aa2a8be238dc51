import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const pollIntervalMs = 20;

/** HTTP response with a parsed JSON body. */
export type HttpResponse<T> = {
	readonly status: number;
	readonly body: T;
	readonly headers: Readonly<Record<string, unknown>>;
};

/** Polls a condition until it holds; has no timeout of its own and relies on that of the test. */
export async function waitUntil(
	condition: () => Promise<boolean>,
): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- polls one after another
	while (!(await condition())) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** HTTP request with an optional JSON body and bearer token. */
export type HttpRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly url: string;
	readonly body?: unknown;
	readonly token?: string | undefined;
	/** Aborts the request: the client closes its connection without waiting for the response. */
	readonly signal?: AbortSignal | undefined;
};

/** Sends a request given as positional arguments; see {@link sendRequest}. */
export async function requestJson<T>(
	method: HttpRequest['method'],
	url: string,
	body?: unknown,
	token?: string,
): Promise<HttpResponse<T>> {
	return sendRequest<T>({method, url, body, token});
}

/** Sends a request and parses its response; rejects when the connection fails or the body is not JSON. */
export async function sendRequest<T>({
	method,
	url,
	body,
	token,
	signal,
}: HttpRequest): Promise<HttpResponse<T>> {
	const response = await request(url, {
		method,
		...(signal === undefined ? {} : {signal}),
		headers: {
			...(body === undefined ? {} : {'content-type': 'application/json'}),
			...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
		},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	return {
		status: response.statusCode,
		body: (await response.body.json()) as T,
		headers: response.headers,
	};
}
