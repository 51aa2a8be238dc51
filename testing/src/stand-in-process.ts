import process from 'node:process';
import {createPlatformStandIn} from './platform-stand-in.js';
import {
	createTargetStandIn,
	targetStandInOptionsSchema,
} from './target-stand-in.js';

// Usage: stand-in-process.js platform|target PORT [OPTIONS], where OPTIONS are a target's settings as JSON.
const [role, port = '0', options = '{}'] = process.argv.slice(2);
const server =
	role === 'platform'
		? createPlatformStandIn()
		: createTargetStandIn(
				targetStandInOptionsSchema.parse(JSON.parse(options)),
			);
await server.listen({host: '127.0.0.1', port: Number(port)});
process.send?.({kind: 'ready'});
process.once('SIGTERM', () => {
	void server.close();
});
