/** The processes of an installation. */
import {fork, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const lowestPort = 12_000;
const lowestEphemeralPort = 32_000;

const standInProcess = fileURLToPath(
	new URL('../dist/stand-in-process.js', import.meta.url),
);
/** Path of the `verbenarouter` command. */
export const command = fileURLToPath(
	new URL('../../packages/verbenarouter/dist/command.js', import.meta.url),
);

/** One process of an installation. */
export type Part = {
	readonly name: string;
	readonly zone: string;
	readonly process: ChildProcess;
	readonly address: string;
	readonly peerAddress: string;
	readonly operatorAddress: string;
};

/** Ends a part's process and waits until it has gone. */
export async function kill(
	{process: child}: Part,
	signal: NodeJS.Signals,
): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const gone = new Promise((resolve) => {
		child.once('exit', resolve);
	});
	child.kill(signal);
	await gone;
}

/** Stops a part's process without ending it. */
export function freeze({process: child}: Part): void {
	child.kill('SIGSTOP');
}

/** Lets a frozen process go on. */
export function wake({process: child}: Part): void {
	child.kill('SIGCONT');
}

/** What a stand-in is started with. */
export type StandIn = {
	readonly role: 'platform' | 'target';
	readonly name: string;
	readonly zone: string;
	readonly port: number;
	readonly options?: string;
};

/** Starts a stand-in as a process and waits until it listens. */
export async function startStandIn({
	role,
	name,
	zone,
	port,
	options = '{}',
}: StandIn): Promise<Part> {
	return {
		name,
		zone,
		process: await forkReady(standInProcess, [role, String(port), options]),
		address: `http://127.0.0.1:${port}`,
		peerAddress: '',
		operatorAddress: '',
	};
}

/** Starts a program and waits until it says that it is ready. */
export async function forkReady(
	file: string,
	parameters: readonly string[],
): Promise<ChildProcess> {
	const child = fork(file, parameters, {
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
					`${path.basename(file)} ${parameters.join(' ')} ended with ${code} before it was ready`,
				),
			);
		});
	});
	return child;
}

/** Ports of loopback that are free now. They lie below those that the system gives to outgoing connections. */
export async function freePorts(count: number): Promise<readonly number[]> {
	return Promise.all(Array.from({length: count}, async () => freePort()));
}

async function freePort(): Promise<number> {
	const port = randomInt(lowestPort, lowestEphemeralPort);
	const server = createServer();
	const isFree = await new Promise<boolean>((resolve) => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
	return isFree ? port : freePort();
}
