/** The parts of an entry VM that deal with the catalogue, put together. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type MachineList} from '@verbenarouter/core';
import {CatalogueEditor} from '@verbenarouter/operator';
import {type Hello, type PeerMesh} from '@verbenarouter/peer';
import {type Platform} from '@verbenarouter/platform';
import {type ProcessLogger} from './logger.js';
import {CatalogueFollower} from './catalogue-follower.js';
import {CatalogueLoop} from './catalogue-loop.js';
import {
	CatalogueRelay,
	type ConnectedPeer,
	type SendRequest,
} from './catalogue-relay.js';
import {CatalogueService} from './catalogue-service.js';
import {type Clock} from './clock.js';
import {MachineListKeeper} from './machine-list-keeper.js';
import {SeedPeers} from './seed-peers.js';
import {type Settings} from './settings.js';

const settleMs = 5000;
const settlePauseMs = 250;

/** What the catalogue's parts need from the rest of the entry VM. */
export type CatalogueNeeds = {
	readonly settings: Settings;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly logger: ProcessLogger;
	readonly mesh: () => PeerMesh;
	readonly hello: () => Hello;
	/** Hears each list of VMs, from the platform or from a peer. */
	readonly onList: (list: MachineList) => void;
};

/** The parts of an entry VM that deal with the catalogue. */
export type CatalogueParts = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly list: MachineListKeeper;
	readonly service: CatalogueService;
	/** Hears what a peer says of itself. */
	heard(hello: Hello): void;
	/** Starts to read the log and to ask the seed peers. */
	start(): void;
	stop(): Promise<void>;
};

/** Puts the parts together; nothing is read before they are started. */
export function createCatalogue(needs: CatalogueNeeds): CatalogueParts {
	const {settings, platform, clock, logger, mesh, hello} = needs;
	const {catalogue: options} = settings;
	const follower = new CatalogueFollower({
		platform,
		clock,
		onNews() {
			mesh().announce();
		},
	});
	const list = new MachineListKeeper(needs.onList);
	const relay = new CatalogueRelay({
		follower,
		list,
		clock,
		peers: connectedPeers,
		request: requestTo,
	});
	const loop = new CatalogueLoop({
		follower,
		relay,
		clock,
		logger,
		author: settings.name,
		readIntervalMs: options.readIntervalMs,
		snapshots: {
			intervalRecords: options.snapshotEveryRecords,
			intervalMs: options.snapshotEveryMs,
			maxJitterMs: options.snapshotJitterMs,
		},
		random: Math.random,
	});
	const service = new CatalogueService({
		follower,
		relay,
		editor: new CatalogueEditor({
			log: follower,
			clock,
			pause: async () => sleep(settlePauseMs),
			verdictTimeoutMs: settleMs,
		}),
		logger,
		entryVm: settings,
		bootstrapTokenHash: options.bootstrapTokenHash,
	});
	let seeds: SeedPeers | undefined;

	function requestTo(name: string): SendRequest {
		return (request, timeoutMs) => mesh().request(name, request, timeoutMs);
	}

	function connectedPeers(): readonly ConnectedPeer[] {
		const names = [...mesh().peers.keys()];
		return names.length > 0
			? names.map((name) => ({name, request: requestTo(name)}))
			: (seeds?.connected ?? []).filter(({name}) => name !== settings.name);
	}

	return {
		follower,
		relay,
		list,
		service,
		heard(heard) {
			relay.heard(heard);
			if (mesh().peers.size > 0) {
				seeds?.close();
			}
		},
		start() {
			loop.start();
			seeds = new SeedPeers({
				addresses: settings.seedPeers,
				link: settings.peers,
				hello,
				onHello(heard, request) {
					if (heard.incarnation.entryVm !== settings.name) {
						relay.heard(heard, request);
					}
				},
			});
		},
		async stop() {
			seeds?.close();
			await loop.stop();
		},
	};
}
