import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {type PoolEntryVm} from './pool-installation.js';

/** Reads the metrics of an entry VM as text; returns an empty text if it does not respond. */
export async function readMetrics({metricsPort}: PoolEntryVm): Promise<string> {
	return new Promise((resolve) => {
		const outgoing = request(
			{host: '127.0.0.1', port: metricsPort, path: '/metrics', agent: false},
			(response) => {
				const chunks: Uint8Array[] = [];
				response.on('data', (chunk: Uint8Array) => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					resolve(Buffer.concat(chunks).toString('utf8'));
				});
			},
		);
		outgoing.on('error', () => {
			resolve('');
		});
		outgoing.end();
	});
}

/** Reads a gauge of an entry VM by its name without the prefix; 0 if there is none. */
export async function readGauge(
	entryVm: PoolEntryVm,
	name: string,
): Promise<number> {
	const text = await readMetrics(entryVm);
	const line = text
		.split('\n')
		.find((other) => other.startsWith(`verbenarouter_${name} `));
	return Number(line?.split(' ')[1] ?? 0);
}
