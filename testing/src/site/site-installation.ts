/** A small installation on stand-ins of the users' platform: a store, workers, and entry VMs as processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {StoreStandIn} from './store-stand-in.js';
import {WorkerStandIn} from './worker-stand-in.js';

/** What to build. */
export type SiteOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	readonly workersPerZone: number;
	readonly processorMillis: number;
	/** Whether the settings name entry VMs that run; true by default. */
	readonly hasLiveSeeds?: boolean;
	/** Arguments of Node before the program. */
	readonly nodeArguments?: readonly string[];
};

/** One entry VM process. */
export type SiteEntryVm = {
	readonly name: string;
	readonly zone: string;
	readonly callerPort: number;
	readonly readinessPort: number;
	readonly lines: string[];
	child: ChildProcess;
};

/** The answer to a job. */
export type SiteAnswer = {
	readonly status: number;
	readonly body: string;
	readonly tookMs: number;
	readonly retryAfter: string | undefined;
};

/** The queue of the stand-in's desired state. */
export const siteQueue = {host: 'kitchen.example', prefix: '/plans/'} as const;

const program = path.resolve(
	import.meta.dirname,
	'../../../packages/verbenarouter/dist/pool/daemon.js',
);
const pollMs = 20;
/** Long, in milliseconds, so that no answer depends on the speed of the machine that runs the tests. */
const objectiveLatencyMs = 5000;
const service = 'menu';

/** A specification that the workers' stand-in understands. */
export function specOf(runMs: number, needsMillis: number): string {
	return `${runMs} ${needsMillis}`;
}

/** An installation on stand-ins. */
export class SiteInstallation {
	readonly store = new StoreStandIn();
	readonly workers: readonly WorkerStandIn[];
	readonly entryVms: SiteEntryVm[] = [];
	readonly #options: SiteOptions;
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'site-'));
	#seeds: readonly string[] = [];
	#nextJob = 1;

	constructor(options: SiteOptions) {
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
						taskOf(spec) {
							const [runMs = 0, needsMillis = 0] = spec.split(' ').map(Number);
							return {runMs, needsMillis};
						},
					}),
			),
		);
	}

	/** Starts everything and waits until all entry VMs are ready. */
	async start(): Promise<void> {
		await this.store.listen();
		await Promise.all(this.workers.map(async (worker) => worker.listen()));
		this.writeWorkers();
		this.writeDesiredState(1);
		const places = this.#options.zones.flatMap((zone) =>
			Array.from({length: this.#options.entryVmsPerZone}, (_, index) => ({
				zone,
				name: `entry-${zone}-${index + 1}`,
			})),
		);
		const ports = await freePorts(places.length * 4 + 1);
		this.#seeds =
			this.#options.hasLiveSeeds === false
				? [`127.0.0.1:${ports.at(-1)}`]
				: places
						.slice(0, 3)
						.map((_, index) => `127.0.0.1:${ports[index * 4 + 2]}`);
		for (const [index, {zone, name}] of places.entries()) {
			const [callerPort, readinessPort, peerPort, metricsPort] = ports.slice(
				index * 4,
				index * 4 + 4,
			) as [number, number, number, number];
			const settingsPath = path.join(this.#folder, `${name}.jsonc`);
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
				lines,
				child: this.#spawn(settingsPath, lines),
			});
		}

		await Promise.all(
			this.entryVms.map(async (entryVm) => this.untilReady(entryVm)),
		);
	}

	/** Waits until an entry VM says that it is ready. */
	async untilReady({readinessPort, name}: SiteEntryVm): Promise<void> {
		for (let attempt = 0; attempt < 500; attempt += 1) {
			// eslint-disable-next-line no-await-in-loop -- one look after the other
			const {status} = await call(readinessPort, 'GET', '/', '');
			if (status === 200) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- one look after the other
			await sleep(pollMs);
		}

		throw new Error(`${name} is not ready`);
	}

	/** Starts an entry VM again that has ended. */
	restart(entryVm: SiteEntryVm): void {
		entryVm.child = this.#spawn(
			path.join(this.#folder, `${entryVm.name}.jsonc`),
			entryVm.lines,
		);
	}

	/** Registers all workers. */
	writeWorkers(): void {
		for (const worker of this.workers) {
			this.store.put('keyed.servers', worker.options.id, worker.entry);
		}
	}

	/** Publishes a desired state with one queue. */
	writeDesiredState(version: number, prefix: string = siteQueue.prefix): void {
		this.store.put(
			'keyed.op',
			'config',
			JSON.stringify({
				version,
				routes: [
					{
						name: 'plans',
						host: siteQueue.host,
						pathPrefix: prefix,
						service,
						priority: 0,
						maxAttempts: 3,
						stretch: 1.6,
						targetLatencyMs: objectiveLatencyMs,
					},
				],
				services: [{name: service}],
				limits: {},
			}),
		);
	}

	/** A new identifier of a job. */
	newId(): string {
		const id = this.#nextJob.toString(16).padStart(16, '0');
		this.#nextJob += 1;
		return id;
	}

	/** Submits a job and waits for its answer. */
	async submit(
		entryVm: SiteEntryVm,
		id: string,
		{
			count,
			runMs,
			needsMillis,
		}: {
			readonly count: number;
			readonly runMs: number;
			readonly needsMillis: number;
		},
	): Promise<SiteAnswer> {
		return call(
			entryVm.callerPort,
			'POST',
			siteQueue.prefix + id,
			JSON.stringify({
				spec: specOf(runMs, needsMillis),
				bestEffort: true,
				steps: [{count, cpu: needsMillis, memMb: 64, estimatedMs: runMs}],
			}),
		);
	}

	/** Ends all that was started. */
	close(): void {
		for (const {child} of this.entryVms) {
			child.kill('SIGKILL');
		}

		for (const worker of this.workers) {
			worker.close();
		}

		this.store.close();
	}

	#spawn(settingsPath: string, lines: string[]): ChildProcess {
		const child = spawn(
			process.execPath,
			[...(this.#options.nodeArguments ?? []), program],
			{
				// eslint-disable-next-line @typescript-eslint/naming-convention -- the variable's name
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

/** Sends one request of a caller; status 0 stands for a connection that broke. */
export async function call(
	port: number,
	method: string,
	target: string,
	body: string,
	patienceMs = 5000,
): Promise<SiteAnswer> {
	const startedAtMs = performance.now();
	return new Promise((resolve) => {
		const answer = (status: number, text: string, retryAfter?: string) => {
			resolve({
				status,
				body: text,
				tookMs: performance.now() - startedAtMs,
				retryAfter,
			});
		};

		const outgoing = request(
			{
				host: '127.0.0.1',
				port,
				method,
				path: target,
				agent: false,
				headers: {
					host: siteQueue.host,
					'content-type': 'application/json',
					'x-deadline-ms': String(patienceMs),
				},
			},
			(response) => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					text += chunk;
				});
				response.on('end', () => {
					answer(
						response.statusCode ?? 0,
						text,
						response.headers['retry-after'],
					);
				});
				response.on('error', () => {
					answer(0, text);
				});
			},
		);
		outgoing.on('error', () => {
			answer(0, '');
		});
		outgoing.end(body);
	});
}

async function freePorts(count: number): Promise<readonly number[]> {
	const servers = await Promise.all(
		Array.from(
			{length: count},
			async () =>
				new Promise<ReturnType<typeof createServer>>((resolve) => {
					const server = createServer();
					server.listen(0, '127.0.0.1', () => {
						resolve(server);
					});
				}),
		),
	);
	const ports = servers.map((server) => {
		const address = server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	});
	for (const server of servers) {
		server.close();
	}

	return ports;
}
