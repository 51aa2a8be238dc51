/** Measures what one decision line costs: `node testing/dist/measure-log-line.js > /dev/null`. The result goes to standard error. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setImmediate as endOfTurn} from 'node:timers/promises';
import {LoggerDecisionLog, createLogger} from 'verbenarouter';

const lines = 50_000;
const warmUpLines = 5000;
const linesPerTurn = 20;
const microsecondsPerMillisecond = 1000;

const log = new LoggerDecisionLog(
	createLogger({format: 'json', level: 'info'}, 'measured'),
);

async function write(count: number): Promise<void> {
	for (let index = 0; index < count; index += 1) {
		log.logPlacement({
			identifier:
				'zone-a.entry-zone-a-0.2de27a863029.mx80g932.1.RNDJivZtHTDs5oNK',
			task: index,
			target: 'target-zone-a-1',
			reason: 'least-in-flight',
			waitedMs: 3,
			candidates: 4,
			passedOver: {leaving: 0, setAside: 1, full: 0, busy: 5, needs: 0},
		});
		if (index % linesPerTurn === 0) {
			// eslint-disable-next-line no-await-in-loop -- the lines of one turn of the event loop are written together
			await endOfTurn();
		}
	}
}

await write(warmUpLines);
const cpuBefore = process.cpuUsage();
const startedAt = performance.now();
await write(lines);
const tookMs = performance.now() - startedAt;
const {user, system} = process.cpuUsage(cpuBefore);
console.error(
	JSON.stringify({
		lines,
		cpuMicrosecondsPerLine: (user + system) / lines,
		elapsedMicrosecondsPerLine: (tookMs * microsecondsPerMillisecond) / lines,
	}),
);
