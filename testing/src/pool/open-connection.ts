import {Agent} from 'node:http';
import {
	formatTaskSpec,
	sendRequest,
	testQueue,
	type PoolEntryVm,
	type PoolHttpResponse,
} from './pool-installation.js';
import {type TaskBehavior} from './worker-stand-in.js';

/** A request to an entry VM and how it ended; status 0 is a connection that ended without a complete answer. */
export type SentRequest = {
	readonly id: string;
	readonly method: string;
	readonly entryVm: string;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly response: PoolHttpResponse;
};

/** Caller that keeps its connection to one entry VM open between requests. */
export class OpenConnection {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});

	constructor(readonly entryVm: PoolEntryVm) {}

	/** Opens the connection with a request that starts nothing. */
	async open(): Promise<void> {
		await this.send('GET', testQueue.prefix, '', '');
	}

	/** Submits a job of equal tasks, by default of one. */
	async submit(
		id: string,
		task: TaskBehavior,
		count = 1,
	): Promise<SentRequest> {
		return this.send(
			'POST',
			testQueue.prefix + id,
			JSON.stringify({
				spec: formatTaskSpec(task),
				bestEffort: true,
				steps: [
					{count, cpu: task.needsMillis, memMb: 1, estimatedMs: task.runMs},
				],
			}),
			id,
		);
	}

	/** Sends a request and waits until it is answered or its connection has ended. */
	async send(
		method: string,
		target: string,
		body: string,
		id: string,
	): Promise<SentRequest> {
		const sentAtMs = performance.now();
		const response = await sendRequest(
			this.entryVm.callerPort,
			method,
			target,
			body,
			{deadlineMs: 30_000, agent: this.#agent},
		);
		return {
			id,
			method,
			entryVm: this.entryVm.name,
			sentAtMs,
			endedAtMs: performance.now(),
			response,
		};
	}

	/** Closes the connection. */
	close(): void {
		this.#agent.destroy();
	}
}

/** Finds the requests that an entry VM has logged as received or rejected and that ended without a complete answer. */
export function findLostRequests(
	sent: readonly SentRequest[],
	entryVms: readonly PoolEntryVm[],
): readonly SentRequest[] {
	const readIds = new Map(
		entryVms.map(({name, lines}) => [
			name,
			new Set(
				lines.flatMap((line) => {
					const id =
						/"event":"(?:received|rejected|read-while-stopping)","id":"(?<id>[^"]+)"/v.exec(
							line,
						)?.groups?.id;
					return id === undefined ? [] : [id.split('/').at(-1)];
				}),
			),
		]),
	);
	return sent.filter(
		({id, entryVm, response}) =>
			response.status === 0 && readIds.get(entryVm)?.has(id) === true,
	);
}
