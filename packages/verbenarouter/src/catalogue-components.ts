import {setTimeout as sleep} from 'node:timers/promises';
import {type MachineList} from '@verbenarouter/core';
import {CatalogueEditor} from '@verbenarouter/operator';
import {type Hello, type PeerMesh} from '@verbenarouter/peer';
import {type Platform} from '@verbenarouter/platform';
import {type ProcessLogger} from './logger.js';
import {CatalogueFollower} from './catalogue-follower.js';
import {CatalogueRefreshLoop} from './catalogue-refresh-loop.js';
import {
	CatalogueRelay,
	type ConnectedPeer,
	type SendRequest,
} from './catalogue-relay.js';
import {CatalogueService} from './catalogue-service.js';
import {type Clock} from './clock.js';
import {MachineListCache} from './machine-list-cache.js';
import {SeedPeers} from './seed-peers.js';
import {type Settings} from './settings.js';

const editVerdictTimeoutMs = 5000;
const editVerdictRetryMs = 250;

/** Options of {@link createCatalogueComponents}. */
export type CatalogueComponentsOptions = {
	readonly settings: Settings;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly logger: ProcessLogger;
	readonly mesh: () => PeerMesh;
	/** Creates the hello message that this entry VM sends now. */
	readonly createHello: () => Hello;
	/** Receives each new list of VMs, from the platform or from a peer. */
	readonly onMachineList: (list: MachineList) => void;
};

/** The components of an entry VM that read, relay and edit the catalogue. */
export type CatalogueComponents = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly machineList: MachineListCache;
	readonly service: CatalogueService;
	/** Processes the hello message of a peer. Closes the links to seed peers once a listed peer is connected. */
	receiveHello(hello: Hello): void;
	/** Starts reading the log and connecting to the seed peers. */
	start(): void;
	/** Stops the components and waits for the read in progress. */
	stop(): Promise<void>;
};

/** Creates and connects the components. They read nothing until `start` is called. */
export function createCatalogueComponents(
	options: CatalogueComponentsOptions,
): CatalogueComponents {
	const {settings, platform, clock, logger, mesh, createHello} = options;
	const {catalogue: catalogueSettings} = settings;
	const follower = new CatalogueFollower({
		platform,
		clock,
		onNewRecords() {
			mesh().broadcastHello();
		},
	});
	const machineList = new MachineListCache(options.onMachineList);
	const relay = new CatalogueRelay({
		follower,
		machineList,
		clock,
		listConnectedPeers,
		createSendRequest,
	});
	const loop = new CatalogueRefreshLoop({
		follower,
		relay,
		clock,
		logger,
		author: settings.name,
		readIntervalMs: catalogueSettings.readIntervalMs,
		snapshots: {
			intervalRecords: catalogueSettings.snapshotEveryRecords,
			intervalMs: catalogueSettings.snapshotEveryMs,
			maxJitterMs: catalogueSettings.snapshotJitterMs,
		},
		random: Math.random,
	});
	const service = new CatalogueService({
		follower,
		relay,
		editor: new CatalogueEditor({
			log: follower,
			clock,
			pause: async () => sleep(editVerdictRetryMs),
			verdictTimeoutMs: editVerdictTimeoutMs,
		}),
		logger,
		entryVm: settings,
		bootstrapTokenHash: catalogueSettings.bootstrapTokenHash,
	});
	let seedPeers: SeedPeers | undefined;

	function createSendRequest(name: string): SendRequest {
		return (request, timeoutMs) => mesh().request(name, request, timeoutMs);
	}

	function listConnectedPeers(): readonly ConnectedPeer[] {
		const names = [...mesh().peerHellos.keys()];
		return names.length > 0
			? names.map((name) => ({name, sendRequest: createSendRequest(name)}))
			: (seedPeers?.connected ?? []).filter(({name}) => name !== settings.name);
	}

	return {
		follower,
		relay,
		machineList,
		service,
		receiveHello(hello) {
			relay.receiveHello(hello);
			if (mesh().peerHellos.size > 0) {
				seedPeers?.close();
			}
		},
		start() {
			loop.start();
			seedPeers = new SeedPeers({
				addresses: settings.seedPeers,
				link: settings.peers,
				createHello,
				onHello(hello, sendRequest) {
					if (hello.incarnation.entryVm !== settings.name) {
						relay.receiveHello(hello, sendRequest);
					}
				},
			});
		},
		async stop() {
			seedPeers?.close();
			await loop.stop();
		},
	};
}
