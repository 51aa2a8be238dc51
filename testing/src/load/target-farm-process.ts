/**
 * Runs several target stand-ins in one process, `target-farm-process.js COUNT OPTIONS` with the options as JSON, and sends
 * their ports to the parent process.
 */
import process from 'node:process';
import {type AddressInfo} from 'node:net';
import {createTargetStandIn} from '../target-stand-in.js';

const [count = '1', options = '{}'] = process.argv.slice(2);
const ports = await Promise.all(
	Array.from({length: Number(count)}, async () => {
		const server = createTargetStandIn(
			JSON.parse(options) as Record<string, unknown>,
		);
		await server.listen({host: '127.0.0.1', port: 0});
		return (server.server.address() as AddressInfo).port;
	}),
);
process.send?.({kind: 'ready', ports});
process.once('disconnect', () => {
	process.exitCode = 0;
	process.disconnect?.();
});
