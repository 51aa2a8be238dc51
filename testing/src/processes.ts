import {fork, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const lowestPort = 12_000;
/** Exclusive upper bound of the ports tried; by default, Linux assigns 32768 and above to outgoing connections. */
const upperPortBound = 32_000;
/** Number of ranges of ports, one for each worker of the test runner. */
const workerCount = 8;
const portsPerWorker = (upperPortBound - lowestPort) / workerCount;
/** Number of this worker, from 1 on; other programs use the last range. */
const workerNumber = Number(process.env.VITEST_POOL_ID ?? workerCount);
const firstPort =
	lowestPort + ((workerNumber - 1) % workerCount) * portsPerWorker;
let nextOffset = randomInt(portsPerWorker);

const standInProgramPath = fileURLToPath(
	new URL('../dist/stand-in-process.js', import.meta.url),
);
/** Path of the compiled `verbenarouter` command. */
export const commandPath = fileURLToPath(
	new URL('../../packages/verbenarouter/dist/command.js', import.meta.url),
);

/** Running process of an installation with its zone and addresses; stand-ins have no peer and operator address (`""`). */
export type ProcessHandle = {
	readonly name: string;
	readonly zone: string;
	readonly process: ChildProcess;
	readonly address: string;
	readonly peerAddress: string;
	readonly operatorAddress: string;
};

/** Sends a signal that ends a process and waits until it has exited; returns at once when it has exited already. */
export async function kill(
	{process: child}: ProcessHandle,
	signal: NodeJS.Signals,
): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const exited = new Promise((resolve) => {
		child.once('exit', resolve);
	});
	child.kill(signal);
	await exited;
}

/** Suspends a process with `SIGSTOP`; its connections stay open. */
export function suspend({process: child}: ProcessHandle): void {
	child.kill('SIGSTOP');
}

/** Resumes a suspended process with `SIGCONT`. */
export function resume({process: child}: ProcessHandle): void {
	child.kill('SIGCONT');
}

/** Options of {@link startStandIn}. */
export type StandInOptions = {
	readonly role: 'platform' | 'target';
	readonly name: string;
	readonly zone: string;
	readonly port: number;
	/** Settings of a target's stand-in as JSON. */
	readonly options?: string;
};

/** Starts a stand-in as a process on loopback and waits until it listens. */
export async function startStandIn({
	role,
	name,
	zone,
	port,
	options = '{}',
}: StandInOptions): Promise<ProcessHandle> {
	return {
		name,
		zone,
		process: await forkUntilReady(standInProgramPath, [
			role,
			String(port),
			options,
		]),
		address: `http://127.0.0.1:${port}`,
		peerAddress: '',
		operatorAddress: '',
	};
}

/** Forks a program and waits for its first IPC message; rejects when the program exits before. */
export async function forkUntilReady(
	file: string,
	commandArguments: readonly string[],
): Promise<ChildProcess> {
	const child = fork(file, commandArguments, {
		stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
		execArgv: [],
	});
	await new Promise<void>((resolve, reject) => {
		child.once('message', () => {
			resolve();
		});
		child.once('exit', (code) => {
			reject(
				new Error(
					`${path.basename(file)} ${commandArguments.join(' ')} exited with code ${code} before it was ready`,
				),
			);
		});
	});
	return child;
}

/**
 * Finds distinct loopback ports that are free at present, below the ephemeral range so that no outgoing connection
 * occupies one before it is used. Workers of the test runner have ranges of their own, and no port is returned twice until
 * all of the range were: a port that is found is bound only some time later.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + (nextOffset % portsPerWorker);
		nextOffset += 1;
		// eslint-disable-next-line no-await-in-loop -- the ports are tried in their order
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise((resolve) => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
