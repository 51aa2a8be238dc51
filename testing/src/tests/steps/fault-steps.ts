/** Steps that start an installation and bring about its failures. */
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
import {stopShared, type Scenario} from './scenario.js';

const badGateway = [
	'HTTP/1.1 502 Bad Gateway',
	'content-type: text/plain',
	'content-length: 11',
	'connection: close',
	'',
	'bad gateway',
].join('\r\n');

const gone = new Map<string, ProcessHandle>();
const refusedBefore = new Map<string, number>();

async function proxiesBefore(
	{installation}: Scenario,
	name: string,
): Promise<readonly TcpProxy[]> {
	const proxies = await installation.proxies.findMachineProxies(name);
	assert.ok(proxies.length > 0, `no proxy is before ${name}`);
	return proxies;
}

after(async function (this: Scenario) {
	gone.clear();
	refusedBefore.clear();
	await this.leave();
});

afterAll(async () => {
	await stopShared();
});

given(
	'an installation of {int} zone(s), each with {int} entry VM(s) and {int} target(s)',
	async function (
		this: Scenario,
		zones: number,
		entryVms: number,
		targets: number,
	) {
		await this.useInstallation({zones, entryVms, targets});
	},
);

when('{word} is frozen', function (this: Scenario, name: string) {
	this.damage();
	suspend(this.part(name));
});

when('{word} is woken', function (this: Scenario, name: string) {
	resume(this.part(name));
});

when('{word} is killed', async function (this: Scenario, name: string) {
	this.damage();
	const part = this.part(name);
	gone.set(name, part);
	await this.installation.killEntryVm(part);
});

when(
	'a new process starts at the addresses of {word}',
	async function (this: Scenario, name: string) {
		const part = gone.get(name);
		assert.ok(part, `${name} has not gone`);
		await this.installation.restartEntryVm(part);
	},
);

when(
	'{word} stops in good order',
	async function (this: Scenario, name: string) {
		this.damage();
		await kill(this.part(name), 'SIGTERM');
	},
);

when('{word} is cut off', async function (this: Scenario, zone: string) {
	this.damage();
	await this.installation.proxies.isolateZone(zone);
});

when('the network is whole again', async function (this: Scenario) {
	await this.installation.proxies.clearFaults();
});

when('the platform is out', async function (this: Scenario) {
	this.damage();
	await this.installation.setPlatformFaults({isDown: true});
});

when(
	'the list of VMs shows {word} as leaving',
	async function (this: Scenario, name: string) {
		this.damage();
		await this.installation.publishMachines((machine) =>
			machine.name === name ? {...machine, state: 'leaving'} : machine,
		);
	},
);

when(
	'{word} says that it is {word}',
	async function (this: Scenario, name: string, mode: 'leaving' | 'full') {
		this.damage();
		await this.installation.configureTarget(this.part(name), {mode});
	},
);

when(
	'the connections to {word} go silent',
	async function (this: Scenario, name: string) {
		this.damage();
		for (const proxy of await proxiesBefore(this, name)) {
			proxy.silenceOpenConnections();
		}
	},
);

when(
	'the next request to {word} is reset once it is written',
	async function (this: Scenario, name: string) {
		this.damage();
		for (const proxy of await proxiesBefore(this, name)) {
			proxy.resetNextRequest({afterBytes: 1, isForwarded: true});
		}
	},
);

when(
	'a gateway before {word} answers 502',
	async function (this: Scenario, name: string) {
		this.damage();
		for (const proxy of await proxiesBefore(this, name)) {
			proxy.replacementResponse = badGateway;
		}
	},
);

when(
	'{word} refuses connections',
	async function (this: Scenario, name: string) {
		this.damage();
		const proxies = await proxiesBefore(this, name);
		await Promise.all(proxies.map(async (proxy) => proxy.refuseConnections()));
	},
);

when(
	'the next two answers of {word} are exchanged',
	async function (this: Scenario, name: string) {
		this.damage();
		for (const proxy of await proxiesBefore(this, name)) {
			proxy.swapNextResponses();
		}
	},
);

when(
	'every entry VM knows that {word} takes no work',
	async function (this: Scenario, name: string) {
		const {refusedLeaving} = await this.installation.fetchTargetRecords(this.part(name));
		refusedBefore.set(name, refusedLeaving);
	},
);

then(
	'{word} has started no task',
	async function (this: Scenario, name: string) {
		const {starts} = await this.installation.fetchTargetRecords(this.part(name));
		assert.deepEqual(starts, []);
	},
);

then(
	'{word} has been asked no more',
	async function (this: Scenario, name: string) {
		const {refusedLeaving} = await this.installation.fetchTargetRecords(this.part(name));
		assert.equal(refusedLeaving, refusedBefore.get(name));
	},
);

then(
	'the entry VMs open new connections to {word}',
	async function (this: Scenario, name: string) {
		const proxies = await proxiesBefore(this, name);
		await waitUntil(async () => proxies.some(({activeConnectionCount: working}) => working > 0));
	},
);
