/** Workers are added; then the store goes down and the leader is killed, which alone knew the newest worker. */
import {setTimeout as sleep} from 'node:timers/promises';
import {newId, runCase} from '../installation.js';

const zone = 'bc-lower-a';
/** Resources of the small worker that is added last, which the job's task fills. */
const smallCpu = 30_000;

await runCase(
	import.meta.dirname,
	{
		zones: ['bc-lower-a', 'bc-lower-b', 'bc-lower-c'],
		entryVmsPerZone: 2,
		workersPerZone: 3,
		cpu: 64_000,
	},
	async (installation, withTrouble) => {
		const {store} = installation;
		const leader = installation.findLeader();
		const receiver = installation.entryVms.find(
			(entryVm) => entryVm !== leader,
		);
		/** Waits until the store has answered a read that shows a worker's entry; nobody but the leader reads. */
		const waitUntilRead = async ({registeredEnd}) =>
			new Promise((resolve) => {
				store.onRead = (topic, end) => {
					if (topic === 'keyed.servers' && end >= registeredEnd) {
						store.onRead = () => undefined;
						resolve();
					}
				};
			});

		const first = await installation.addWorker({
			id: 'i-added-1',
			zone,
			cpu: 64_000,
		});
		await waitUntilRead(first);
		await sleep(60);
		const second = await installation.addWorker({
			id: 'i-added-2',
			zone,
			cpu: smallCpu,
		});
		await waitUntilRead(second);
		await sleep(60);
		const id = newId();
		const posted = installation.submit(receiver, id, {
			count: 1,
			ms: 900,
			cpu: smallCpu,
			limitMs: 1500,
		});
		await sleep(120);
		if (withTrouble) {
			store.isDown = true;
			installation.record('store-down');
			installation.signal(leader, 'SIGKILL');
		}

		await posted;
		await sleep(1500);
		store.isDown = false;
		const runs = installation.runsOf(id);
		for (const earlier of runs) {
			const other = runs.find(
				(run) =>
					run !== earlier &&
					run.task === earlier.task &&
					run.startMs >= earlier.startMs &&
					run.startMs < earlier.endMs,
			);
			if (other !== undefined) {
				return `TWICE: task ${earlier.task} ran on ${earlier.worker} and ${other.worker} at the same time for ${Math.round(Math.min(earlier.endMs, other.endMs) - other.startMs)} ms`;
			}
		}

		return undefined;
	},
);
