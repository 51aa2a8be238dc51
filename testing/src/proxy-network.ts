/** Proxies on every path of an installation: from each availability zone to each machine and to the platform. */
import {type Machine} from '@verbenarouter/core';
import {TcpProxy} from './tcp-proxy.js';

const platformName = 'platform';

type Path = {
	readonly fromZone: string;
	readonly toZone: string;
	readonly name: string;
	readonly proxy: TcpProxy;
};

/** Proxies on every path of an installation. */
export class ProxyNetwork {
	readonly #paths = new Map<string, Promise<Path>>();

	/** Address of the platform as a zone's entry VMs reach it. */
	async platformAddress(fromZone: string, address: string): Promise<string> {
		const {proxy} = await this.#path(
			fromZone,
			{name: platformName, zone: ''},
			address,
		);
		return `http://127.0.0.1:${proxy.port}`;
	}

	/** A machine as a zone's entry VMs reach it. */
	async reachedFrom(fromZone: string, machine: Machine): Promise<Machine> {
		const address =
			machine.role === 'entry' ? machine.peerAddress : machine.address;
		const {proxy} = await this.#path(fromZone, machine, address);
		return machine.role === 'entry'
			? {...machine, peerAddress: `127.0.0.1:${proxy.port}`}
			: {...machine, address: `http://127.0.0.1:${proxy.port}`};
	}

	/** The proxies in front of a machine, one for each zone from which it is reached. */
	async before(name: string): Promise<readonly TcpProxy[]> {
		const paths = await this.#all();
		return paths.filter((path) => path.name === name).map(({proxy}) => proxy);
	}

	/** The proxy between a zone and the platform. */
	async beforePlatform(fromZone: string): Promise<TcpProxy> {
		const paths = await this.#all();
		const path = paths.find(
			({name, fromZone: zone}) => name === platformName && zone === fromZone,
		);
		if (path === undefined) {
			throw new Error(`no entry VM of ${fromZone} reaches the platform`);
		}

		return path.proxy;
	}

	/** Cuts a zone off from all other zones, in both directions; nothing that was open works again. */
	async cutOff(zone: string): Promise<void> {
		const paths = await this.#all();
		const cut = paths.filter(
			({fromZone, toZone, name}) =>
				name !== platformName && (fromZone === zone) !== (toZone === zone),
		);
		await Promise.all(cut.map(async ({proxy}) => proxy.cutOff()));
	}

	/** Takes back all faults. */
	async heal(): Promise<void> {
		const paths = await this.#all();
		await Promise.all(paths.map(async ({proxy}) => proxy.heal()));
	}

	/** Closes all proxies. */
	async close(): Promise<void> {
		const paths = await this.#all();
		await Promise.all(paths.map(async ({proxy}) => proxy.close()));
	}

	async #all(): Promise<readonly Path[]> {
		return Promise.all(this.#paths.values());
	}

	async #path(
		fromZone: string,
		{name, zone}: {readonly name: string; readonly zone: string},
		address: string,
	): Promise<Path> {
		const port = Number(address.slice(address.lastIndexOf(':') + 1));
		const key = `${fromZone} ${name} ${port}`;
		const known = this.#paths.get(key);
		if (known !== undefined) {
			return known;
		}

		const path = openPath(fromZone, zone, name, port);
		this.#paths.set(key, path);
		return path;
	}
}

async function openPath(
	fromZone: string,
	toZone: string,
	name: string,
	port: number,
): Promise<Path> {
	return {fromZone, toZone, name, proxy: await TcpProxy.listen(port)};
}
