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

/** Lowest status after which a call may have taken effect; with a lower one the platform refused it before any change. */
const firstServerErrorStatus = 500;

const appendResponseSchema = z.object({offset: z.number().int().nonnegative()});
const usageResponseSchema = z.object({
	workers: z.array(usageReportSchema).readonly(),
});

/** Options of {@link HttpPlatform}. */
export type HttpPlatformOptions = {
	/** URL of the platform, as `http://host:port`. */
	readonly address: string;
	/** Timeout of a call, in milliseconds. */
	readonly timeoutMs: number;
};

/** Calls the platform over HTTP/1.1, as described in docs/platform-protocol.md. */
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
			appendResponseSchema,
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
		return this.#call('GET', '/usage', usageResponseSchema).map(
			({workers}) => workers,
		);
	}

	/** Closes all connections; calls in progress fail. */
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
			const response = await this.#pool.request({
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
			if (response.statusCode !== 200) {
				await response.body.dump();
				return err({
					code: 'refused',
					message: `the platform responded with status ${response.statusCode}, expected 200`,
					mayHaveTakenEffect:
						mayHaveTakenEffect && response.statusCode >= firstServerErrorStatus,
				});
			}

			const responseBody: unknown = await response.body.json();
			const parsed = schema.safeParse(responseBody);
			return parsed.success
				? ok(parsed.data)
				: err({
						code: 'bad-answer',
						message: z.prettifyError(parsed.error),
						mayHaveTakenEffect,
					});
		} catch (error: unknown) {
			return err(toPlatformFailure(error, mayHaveTakenEffect));
		}
	}
}

function toPlatformFailure(
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

	// Without a connection, no request was sent.
	const isConnectFailure =
		error instanceof Error &&
		(('syscall' in error && error.syscall === 'connect') ||
			error.name === 'ConnectTimeoutError');
	return {
		code: 'unreachable',
		message,
		mayHaveTakenEffect: mayHaveTakenEffect && !isConnectFailure,
	};
}
