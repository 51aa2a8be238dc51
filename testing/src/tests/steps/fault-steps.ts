import assert from 'node:assert/strict';
import {
	After as after,
	AfterAll as afterAll,
	Given as given,
	Then as then,
	When as when,
} from '@cucumber/cucumber';
import {
	suspend,
	kill,
	waitUntil,
	resume,
	type ProcessHandle,
	type TcpProxy,
} from '../../installation.js';
import {stopSharedInstallation, type Scenario} from './scenario.js';

const badGatewayAnswer = [
	'HTTP/1.1 502 Bad Gateway',
	'content-type: text/plain',
	'content-length: 11',
	'connection: close',
	'',
	'bad gateway',
].join('\r\n');

/** Entry VMs that the scenario has killed, by name. */
const killedEntryVms = new Map<string, ProcessHandle>();
/** Number of tasks that a target had refused as leaving when the scenario recorded it, by target name. */
const refusedLeavingBefore = new Map<string, number>();

/** The proxies in front of a process, one for each zone that reaches it. */
async function proxiesInFrontOf(
	{installation}: Scenario,
	name: string,
): Promise<readonly TcpProxy[]> {
	const proxies = await installation.proxies.findMachineProxies(name);
	assert.ok(
		proxies.length > 0,
		`expected a proxy in front of ${name}, found none`,
	);
	return proxies;
}

after(async function (this: Scenario) {
	killedEntryVms.clear();
	refusedLeavingBefore.clear();
	await this.releaseInstallation();
});

afterAll(async () => {
	await stopSharedInstallation();
});

given(
	'an installation of {int} zone(s) with {int} entry VM(s) and {int} target(s) in each zone',
	async function (
		this: Scenario,
		zones: number,
		entryVms: number,
		targets: number,
	) {
		await this.useInstallation({zones, entryVms, targets});
	},
);

when('{word} is paused', function (this: Scenario, name: string) {
	this.preventReuse();
	suspend(this.findProcess(name));
});

when('{word} is resumed', function (this: Scenario, name: string) {
	resume(this.findProcess(name));
});

when('{word} is killed', async function (this: Scenario, name: string) {
	this.preventReuse();
	const part = this.findProcess(name);
	killedEntryVms.set(name, part);
	await this.installation.killEntryVm(part);
});

when(
	'a new process starts at the addresses of {word}',
	async function (this: Scenario, name: string) {
		const part = killedEntryVms.get(name);
		assert.ok(part, `${name} has not been killed in this scenario`);
		await this.installation.restartEntryVm(part);
	},
);

when(
	'{word} shuts down gracefully',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		await kill(this.findProcess(name), 'SIGTERM');
	},
);

when(
	'{word} is partitioned from the other zones',
	async function (this: Scenario, zone: string) {
		this.preventReuse();
		await this.installation.proxies.isolateZone(zone);
	},
);

when('all network faults are removed', async function (this: Scenario) {
	await this.installation.proxies.clearFaults();
});

when('the platform is down', async function (this: Scenario) {
	this.preventReuse();
	await this.installation.setPlatformFaults({isDown: true});
});

when(
	'the list of VMs marks {word} as leaving',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		await this.installation.publishMachines((machine) =>
			machine.name === name ? {...machine, state: 'leaving'} : machine,
		);
	},
);

when(
	'{word} reports that it is {word}',
	async function (this: Scenario, name: string, mode: 'leaving' | 'full') {
		this.preventReuse();
		await this.installation.configureTarget(this.findProcess(name), {mode});
	},
);

when(
	'the open connections to {word} stop passing data',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		for (const proxy of await proxiesInFrontOf(this, name)) {
			proxy.silenceOpenConnections();
		}
	},
);

when(
	'the connection of the next request to {word} is reset after the request is written',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		for (const proxy of await proxiesInFrontOf(this, name)) {
			proxy.resetNextRequest({afterBytes: 1, isForwarded: true});
		}
	},
);

when(
	'a gateway in front of {word} answers 502',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		for (const proxy of await proxiesInFrontOf(this, name)) {
			proxy.replacementResponse = badGatewayAnswer;
		}
	},
);

when(
	'{word} refuses connections',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		const proxies = await proxiesInFrontOf(this, name);
		await Promise.all(proxies.map(async (proxy) => proxy.refuseConnections()));
	},
);

when(
	'the next two answers of {word} are swapped',
	async function (this: Scenario, name: string) {
		this.preventReuse();
		for (const proxy of await proxiesInFrontOf(this, name)) {
			proxy.swapNextResponses();
		}
	},
);

when(
	'the number of tasks that {word} refused as leaving is recorded',
	async function (this: Scenario, name: string) {
		const {refusedLeaving} = await this.installation.fetchTargetRecords(
			this.findProcess(name),
		);
		refusedLeavingBefore.set(name, refusedLeaving);
	},
);

then(
	'{word} has started no task',
	async function (this: Scenario, name: string) {
		const {starts} = await this.installation.fetchTargetRecords(
			this.findProcess(name),
		);
		assert.deepEqual(starts, []);
	},
);

then(
	'{word} has refused no further task as leaving',
	async function (this: Scenario, name: string) {
		const {refusedLeaving} = await this.installation.fetchTargetRecords(
			this.findProcess(name),
		);
		assert.equal(refusedLeaving, refusedLeavingBefore.get(name));
	},
);

then(
	'the entry VMs open new connections to {word}',
	async function (this: Scenario, name: string) {
		const proxies = await proxiesInFrontOf(this, name);
		await waitUntil(async () =>
			proxies.some(({activeConnectionCount}) => activeConnectionCount > 0),
		);
	},
);
