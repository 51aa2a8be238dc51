import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {request, type Agent} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {findFreePorts} from '../processes.js';
import {StoreStandIn} from './store-stand-in.js';
import {WorkerStandIn, type TaskBehavior} from './worker-stand-in.js';

/** Size and settings of an installation. */
export type PoolInstallationOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	readonly workersPerZone: number;
	/** Capacity of each worker in thousandths of a processor. */
	readonly processorMillis: number;
	/** Whether the workers refuse starts beyond their capacity; true by default. */
	readonly guardsCapacity?: boolean;
	/** Whether the peer seeds in the settings are running entry VMs; true by default. */
	readonly hasLiveSeeds?: boolean;
	/** Arguments of Node.js before the path of the program. */
	readonly nodeArguments?: readonly string[];
};

/** Entry VM with its process, which a restart replaces. */
export type PoolEntryVm = {
	readonly name: string;
	readonly zone: string;
	readonly callerPort: number;
	readonly readinessPort: number;
	readonly metricsPort: number;
	/** Log lines on standard output, of all processes so far. */
	readonly lines: string[];
	child: ChildProcess;
};

/** HTTP response to a caller; status 0 is a connection that failed. */
export type PoolHttpResponse = {
	readonly status: number;
	/** For status 0, the error code if the connection was closed before a response. */
	readonly body: string;
	/** Milliseconds from the request to the response or failure. */
	readonly tookMs: number;
	/** Milliseconds from when the whole request was passed to the operating system; 0 if it never was. */
	readonly sinceSentMs: number;
	/** Value of the `retry-after` header. */
	readonly retryAfter: string | undefined;
};

/** Host and path prefix of the only queue of the desired state. */
export const testQueue = {host: 'kitchen.example', prefix: '/plans/'} as const;

const daemonPath = path.resolve(
	import.meta.dirname,
	'../../../packages/verbenarouter/dist/pool/daemon.js',
);
const pollMs = 20;
/** Long enough that no response depends on the speed of the machine that runs the tests. */
const targetLatencyMs = 5000;
const service = 'menu';

/** Formats a task specification for the workers' stand-in, which the tasks of a job share. */
export function formatTaskSpec({
	runMs,
	needsMillis,
	crashesWorker,
	unansweredStarts = 0,
	confirmationDelayMs = 0,
}: TaskBehavior): string {
	return `${runMs} ${needsMillis} ${crashesWorker ? 1 : 0} ${unansweredStarts} ${confirmationDelayMs}`;
}

/** Installation of entry VM processes, with stand-ins for the store and the workers of the users' platform. */
export class PoolInstallation {
	readonly store = new StoreStandIn();
	readonly workers: readonly WorkerStandIn[];
	readonly entryVms: PoolEntryVm[] = [];
	readonly #options: PoolInstallationOptions;
	readonly #directory = mkdtempSync(path.join(tmpdir(), 'site-'));
	#seeds: readonly string[] = [];
	#nextJob = 1;

	constructor(options: PoolInstallationOptions) {
		this.#options = options;
		this.workers = options.zones.flatMap((zone) =>
			Array.from(
				{length: options.workersPerZone},
				(_, index) =>
					new WorkerStandIn({
						id: `w-${zone}-${index}`,
						zone,
						service,
						processorMillis: options.processorMillis,
						parseTaskSpec(spec) {
							const [
								runMs = 0,
								needsMillis = 0,
								crashesWorker = 0,
								unansweredStarts = 0,
								confirmationDelayMs = 0,
							] = spec.split(' ').map(Number);
							return {
								runMs,
								needsMillis,
								crashesWorker: crashesWorker === 1,
								unansweredStarts,
								confirmationDelayMs,
							};
						},
						guardsCapacity: options.guardsCapacity ?? true,
						onRestart: () => {
							this.registerWorkers();
						},
					}),
			),
		);
	}

	/** Starts the store, the workers and the entry VMs, and waits until all entry VMs are ready. */
	async start(): Promise<void> {
		await this.store.listen();
		await Promise.all(this.workers.map(async (worker) => worker.listen()));
		this.registerWorkers();
		this.publishDesiredState(1);
		const placements = this.#options.zones.flatMap((zone) =>
			Array.from({length: this.#options.entryVmsPerZone}, (_, index) => ({
				zone,
				name: `entry-${zone}-${index + 1}`,
			})),
		);
		const ports = await findFreePorts(placements.length * 4 + 1);
		this.#seeds =
			this.#options.hasLiveSeeds === false
				? [`127.0.0.1:${ports.at(-1)}`]
				: placements
						.slice(0, 3)
						.map((_, index) => `127.0.0.1:${ports[index * 4 + 2]}`);
		for (const [index, {zone, name}] of placements.entries()) {
			const [callerPort, readinessPort, peerPort, metricsPort] = ports.slice(
				index * 4,
				index * 4 + 4,
			) as [number, number, number, number];
			const settingsPath = path.join(this.#directory, `${name}.jsonc`);
			writeFileSync(
				settingsPath,
				JSON.stringify({
					name,
					zone,
					zones: this.#options.zones,
					callerAddress: `127.0.0.1:${callerPort}`,
					readinessAddress: `127.0.0.1:${readinessPort}`,
					peerAddress: `127.0.0.1:${peerPort}`,
					peerSeeds: this.#seeds,
					metricsAddress: `127.0.0.1:${metricsPort}`,
					isFirstStart: false,
					processorShare: 1,
					storeAddress: this.store.address,
					workerLeaseMs: 1000,
					workerStopMs: 50,
					stopGraceMs: 6000,
				}),
			);
			const lines: string[] = [];
			this.entryVms.push({
				name,
				zone,
				callerPort,
				readinessPort,
				metricsPort,
				lines,
				child: this.#spawn(settingsPath, lines),
			});
		}

		await Promise.all(
			this.entryVms.map(async (entryVm) => this.waitUntilReady(entryVm)),
		);
	}

	/** Polls the readiness port of an entry VM until it responds with status 200; throws after 500 attempts. */
	async waitUntilReady({readinessPort, name}: PoolEntryVm): Promise<void> {
		for (let attempt = 0; attempt < 500; attempt += 1) {
			// eslint-disable-next-line no-await-in-loop -- polls one after another
			const {status} = await sendRequest(readinessPort, 'GET', '/', '');
			if (status === 200) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polls one after another
			await sleep(pollMs);
		}

		throw new Error(
			`entry VM ${name} did not become ready within 500 attempts`,
		);
	}

	/** Starts a new process of an entry VM that has exited, with the same settings. */
	restart(entryVm: PoolEntryVm): void {
		entryVm.child = this.#spawn(
			path.join(this.#directory, `${entryVm.name}.jsonc`),
			entryVm.lines,
		);
	}

	/** Writes the registry records of all workers to the store. */
	registerWorkers(): void {
		for (const worker of this.workers) {
			this.store.put('keyed.servers', worker.options.id, worker.registryRecord);
		}
	}

	/** Publishes a desired state with one queue under a path prefix. */
	publishDesiredState(
		version: number,
		prefix: string = testQueue.prefix,
	): void {
		this.store.put(
			'keyed.op',
			'config',
			JSON.stringify({
				version,
				routes: [
					{
						name: 'plans',
						host: testQueue.host,
						pathPrefix: prefix,
						service,
						priority: 0,
						maxAttempts: 3,
						stretch: 1.6,
						targetLatencyMs,
					},
				],
				services: [
					{
						name: service,
						rejectsOverload: this.#options.guardsCapacity ?? true,
					},
				],
				limits: {},
			}),
		);
	}

	/** Returns a new job identifier of 16 hexadecimal digits. */
	newId(): string {
		const id = this.#nextJob.toString(16).padStart(16, '0');
		this.#nextJob += 1;
		return id;
	}

	/** Submits a job with one step of `count` equal tasks and waits for its answer. */
	async submit(
		entryVm: PoolEntryVm,
		id: string,
		{
			count,
			runMs,
			needsMillis,
			crashesWorker = false,
			unansweredStarts = 0,
			confirmationDelayMs = 0,
			deadlineMs = 5000,
		}: {
			readonly count: number;
			readonly runMs: number;
			readonly needsMillis: number;
			readonly crashesWorker?: boolean;
			/** Number of runs of each crashing task whose start commands get no answer. */
			readonly unansweredStarts?: number;
			/** Time in milliseconds after which the starts of a crashing task are confirmed. */
			readonly confirmationDelayMs?: number;
			/** Time in milliseconds for which the caller waits. */
			readonly deadlineMs?: number;
		},
	): Promise<PoolHttpResponse> {
		return sendRequest(
			entryVm.callerPort,
			'POST',
			testQueue.prefix + id,
			JSON.stringify({
				spec: formatTaskSpec({
					runMs,
					needsMillis,
					crashesWorker,
					unansweredStarts,
					confirmationDelayMs,
				}),
				bestEffort: true,
				steps: [{count, cpu: needsMillis, memMb: 64, estimatedMs: runMs}],
			}),
			{deadlineMs},
		);
	}

	/** Kills the entry VMs and closes the workers and the store. */
	close(): void {
		for (const {child} of this.entryVms) {
			child.kill('SIGKILL');
		}

		for (const worker of this.workers) {
			worker.close();
		}

		this.store.close();
	}

	/** Spawns an entry VM that appends its standard output to `lines`. */
	#spawn(settingsPath: string, lines: string[]): ChildProcess {
		const child = spawn(
			process.execPath,
			[...(this.#options.nodeArguments ?? []), daemonPath],
			{
				// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the environment variable
				env: {...process.env, VERBENAROUTER_SETTINGS: settingsPath},
				stdio: ['ignore', 'pipe', 'inherit'],
			},
		);
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', (text: string) => {
			lines.push(...text.split('\n').filter((line) => line !== ''));
		});
		return child;
	}
}

/**
 * Sends a request as a caller, with its deadline in `x-deadline-ms`; resolves with status 0 when the connection fails. An
 * agent reuses its open connections; without one, the request has a connection of its own.
 */
export async function sendRequest(
	port: number,
	method: string,
	target: string,
	body: string,
	{
		deadlineMs = 5000,
		agent = false,
	}: {readonly deadlineMs?: number; readonly agent?: Agent | false} = {},
): Promise<PoolHttpResponse> {
	const startedAtMs = performance.now();
	let sentAtMs: number | undefined;
	return new Promise((resolve) => {
		const settle = (status: number, text: string, retryAfter?: string) => {
			resolve({
				status,
				body: text,
				tookMs: performance.now() - startedAtMs,
				sinceSentMs: sentAtMs === undefined ? 0 : performance.now() - sentAtMs,
				retryAfter,
			});
		};

		const outgoing = request(
			{
				host: '127.0.0.1',
				port,
				method,
				path: target,
				agent,
				headers: {
					host: testQueue.host,
					'content-type': 'application/json',
					'x-deadline-ms': String(deadlineMs),
				},
			},
			(response) => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					text += chunk;
				});
				response.on('end', () => {
					settle(
						response.statusCode ?? 0,
						text,
						response.headers['retry-after'],
					);
				});
				response.on('error', () => {
					settle(0, text);
				});
			},
		);
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			settle(0, error.code ?? error.message);
		});
		outgoing.on('finish', () => {
			sentAtMs = performance.now();
		});
		outgoing.end(body);
	});
}
