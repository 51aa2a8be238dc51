/** The platform over HTTP/1.1, as described in docs/platform-protocol.md. */
import {machineListSchema, type MachineList} from '@verbenarouter/core';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import {
	logPageSchema,
	usageReportSchema,
	type LogPage,
	type Platform,
	type PlatformFailure,
	type UsageReport,
} from './platform.js';

/** Below this status the platform refused the call before it did anything. */
const firstServerError = 500;

const appendedSchema = z.object({offset: z.number().int().nonnegative()});
const usageSchema = z.object({workers: z.array(usageReportSchema).readonly()});

/** Settings of the connection to the platform. */
export type HttpPlatformOptions = {
	/** `http://host:port` of the platform. */
	readonly address: string;
	/** Milliseconds after which a call is given up. */
	readonly timeoutMs: number;
};

/** The platform over HTTP/1.1. */
export class HttpPlatform implements Platform {
	readonly #pool: Pool;
	readonly #timeoutMs: number;

	constructor(options: HttpPlatformOptions) {
		this.#pool = new Pool(options.address, {
			connections: 4,
			connect: {timeout: options.timeoutMs},
		});
		this.#timeoutMs = options.timeoutMs;
	}

	append(
		stream: string,
		record: unknown,
	): ResultAsync<number, PlatformFailure> {
		return this.#call(
			'POST',
			`/logs/${encodeURIComponent(stream)}/records`,
			appendedSchema,
			record,
		).map(({offset}) => offset);
	}

	read(
		stream: string,
		fromOffset: number,
		limit: number,
	): ResultAsync<LogPage, PlatformFailure> {
		return this.#call(
			'GET',
			`/logs/${encodeURIComponent(stream)}/records?from=${fromOffset}&limit=${limit}`,
			logPageSchema,
		);
	}

	machines(): ResultAsync<MachineList, PlatformFailure> {
		return this.#call('GET', '/machines', machineListSchema);
	}

	usage(): ResultAsync<readonly UsageReport[], PlatformFailure> {
		return this.#call('GET', '/usage', usageSchema).map(({workers}) => workers);
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	#call<T>(
		method: 'GET' | 'POST',
		path: string,
		schema: z.ZodType<T>,
		body?: unknown,
	): ResultAsync<T, PlatformFailure> {
		return new ResultAsync(this.#request(method, path, schema, body));
	}

	async #request<T>(
		method: 'GET' | 'POST',
		path: string,
		schema: z.ZodType<T>,
		body: unknown,
	): Promise<Result<T, PlatformFailure>> {
		const mayHaveTakenEffect = method === 'POST';
		try {
			const answer = await this.#pool.request({
				method,
				path,
				...(body === undefined
					? {}
					: {
							body: JSON.stringify(body),
							headers: {'content-type': 'application/json'},
						}),
				signal: AbortSignal.timeout(this.#timeoutMs),
			});
			if (answer.statusCode !== 200) {
				await answer.body.dump();
				return err({
					code: 'refused',
					message: `the platform answered with status ${answer.statusCode}`,
					mayHaveTakenEffect:
						mayHaveTakenEffect && answer.statusCode >= firstServerError,
				});
			}

			const answered: unknown = await answer.body.json();
			const parsed = schema.safeParse(answered);
			return parsed.success
				? ok(parsed.data)
				: err({
						code: 'bad-answer',
						message: z.prettifyError(parsed.error),
						mayHaveTakenEffect,
					});
		} catch (error: unknown) {
			return err(failureOf(error, mayHaveTakenEffect));
		}
	}
}

function failureOf(
	error: unknown,
	mayHaveTakenEffect: boolean,
): PlatformFailure {
	const message = error instanceof Error ? error.message : String(error);
	if (error instanceof Error && error.name === 'TimeoutError') {
		return {code: 'timeout', message, mayHaveTakenEffect};
	}

	if (error instanceof SyntaxError) {
		return {code: 'bad-answer', message, mayHaveTakenEffect};
	}

	// Nothing was sent when there was no connection to send it on.
	const isConnect =
		error instanceof Error &&
		(('syscall' in error && error.syscall === 'connect') ||
			error.name === 'ConnectTimeoutError');
	return {
		code: 'unreachable',
		message,
		mayHaveTakenEffect: mayHaveTakenEffect && !isConnect,
	};
}
