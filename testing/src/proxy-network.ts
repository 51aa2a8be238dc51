import {type Machine} from '@verbenarouter/core';
import {TcpProxy} from './tcp-proxy.js';

const platformName = 'platform';

/** Path from a zone to a machine, or to the platform, where `toZone` is `""`. */
type ProxiedPath = {
	readonly fromZone: string;
	readonly toZone: string;
	readonly name: string;
	readonly proxy: TcpProxy;
};

/**
 * Fault-injecting proxies on every path of an installation: from each availability zone to each machine and to the
 * platform.
 */
export class ProxyNetwork {
	readonly #paths = new Map<string, Promise<ProxiedPath>>();

	/** Opens a proxy to the platform for a zone, unless there is one, and returns its address. */
	async proxyPlatform(fromZone: string, address: string): Promise<string> {
		const {proxy} = await this.#getOrOpenPath(
			fromZone,
			{name: platformName, zone: ''},
			address,
		);
		return `http://127.0.0.1:${proxy.port}`;
	}

	/** Opens a proxy to a machine for a zone, unless there is one, and returns the machine with the address of the proxy. */
	async proxyMachine(fromZone: string, machine: Machine): Promise<Machine> {
		const address =
			machine.role === 'entry' ? machine.peerAddress : machine.address;
		const {proxy} = await this.#getOrOpenPath(fromZone, machine, address);
		return machine.role === 'entry'
			? {...machine, peerAddress: `127.0.0.1:${proxy.port}`}
			: {...machine, address: `http://127.0.0.1:${proxy.port}`};
	}

	/** Returns the proxies to a machine, one for each zone that has a path to it and each address that it had. */
	async findMachineProxies(name: string): Promise<readonly TcpProxy[]> {
		const paths = await this.#allPaths();
		return paths.filter((path) => path.name === name).map(({proxy}) => proxy);
	}

	/** Returns the proxy from a zone to the platform; throws when there is none. */
	async findPlatformProxy(fromZone: string): Promise<TcpProxy> {
		const paths = await this.#allPaths();
		const path = paths.find(
			({name, fromZone: zone}) => name === platformName && zone === fromZone,
		);
		if (path === undefined) {
			throw new Error(`zone ${fromZone} has no proxy to the platform`);
		}

		return path.proxy;
	}

	/**
	 * Partitions a zone from all other zones, in both directions: open connections stay silent, also after
	 * {@link clearFaults}, and new ones are refused until then. Paths to the platform are not affected.
	 */
	async isolateZone(zone: string): Promise<void> {
		const paths = await this.#allPaths();
		const crossingPaths = paths.filter(
			({fromZone, toZone, name}) =>
				name !== platformName && (fromZone === zone) !== (toZone === zone),
		);
		await Promise.all(crossingPaths.map(async ({proxy}) => proxy.isolate()));
	}

	/** Clears the faults of all proxies; connections that went silent stay silent. */
	async clearFaults(): Promise<void> {
		const paths = await this.#allPaths();
		await Promise.all(paths.map(async ({proxy}) => proxy.clearFaults()));
	}

	/** Closes all proxies and their connections. */
	async close(): Promise<void> {
		const paths = await this.#allPaths();
		await Promise.all(paths.map(async ({proxy}) => proxy.close()));
	}

	async #allPaths(): Promise<readonly ProxiedPath[]> {
		return Promise.all(this.#paths.values());
	}

	async #getOrOpenPath(
		fromZone: string,
		{name, zone}: {readonly name: string; readonly zone: string},
		address: string,
	): Promise<ProxiedPath> {
		const port = Number(address.slice(address.lastIndexOf(':') + 1));
		const key = `${fromZone} ${name} ${port}`;
		const existing = this.#paths.get(key);
		if (existing !== undefined) {
			return existing;
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
): Promise<ProxiedPath> {
	return {fromZone, toZone, name, proxy: await TcpProxy.listen(port)};
}
