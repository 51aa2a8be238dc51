import {randomBytes, randomInt} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer} from '@verbenarouter/caller';
import {
	FixedSlotShares,
	LedgerSlots,
	UncoordinatedSlots,
	OwnerSearch,
	SubmissionStore,
	incarnationKey,
	type Incarnation,
	type MachineList,
} from '@verbenarouter/core';
import {createOperatorServer} from '@verbenarouter/operator';
import {PeerMesh, peerTraffic, type Hello} from '@verbenarouter/peer';
import {HttpPlatform} from '@verbenarouter/platform';
import {HttpTargetClient} from '@verbenarouter/target';
import {createCatalogueComponents} from './catalogue-components.js';
import {monotonicClock} from './clock.js';
import {LoggerDecisionLog} from './decision-log.js';
import {Dispatcher} from './dispatcher.js';
import {SharedLimits} from './shared-limits.js';
import {createLogger} from './logger.js';
import {
	InstrumentedJobService,
	InstrumentedTargetClient,
} from './instrumentation.js';
import {Metrics} from './metrics.js';
import {addMetricsRoutes} from './metrics-routes.js';
import {HandOverReceiver, HandOverSender} from './hand-over.js';
import {PeerForwarder} from './peer-forwarder.js';
import {type Settings} from './settings.js';
import {SubmissionOwner} from './submission-owner.js';
import {SubmissionRouter} from './submission-router.js';

const nonceBytes = 6;
const secretBytes = 32;
/** Time for the last messages of the share ledger to be sent before the links are closed. */
const ledgerFlushMs = 20;
/** Upper bound, exclusive, of the random seed for placement. */
const seedUpperBound = 2 ** 31;
/** Maximum time after the first list of VMs for which an entry VM waits for its links before it reports readiness. */
const maxLinkWaitMs = 3000;

/** A running entry VM. */
export type RunningEntryVm = {
	readonly incarnation: Incarnation;
	/** Hands over the owned submissions, waits for those in progress within the drain time of the settings, and stops. */
	stop(): Promise<void>;
};

/** Starts an entry VM; rejects if it cannot bind one of its addresses. */
export async function startEntryVm(
	settings: Settings,
): Promise<RunningEntryVm> {
	const logger = createLogger(settings.log, settings.name);
	const log = new LoggerDecisionLog(logger);
	const clock = monotonicClock;
	const incarnation: Incarnation = {
		zone: settings.zone,
		entryVm: settings.name,
		nonce: randomBytes(nonceBytes).toString('hex'),
	};
	const store = new SubmissionStore(
		{issuer: incarnation, secret: randomBytes(secretBytes).toString('hex')},
		settings.memory,
	);
	const platform = new HttpPlatform(settings.platform);
	const metrics = new Metrics(() => ({
		submissionsRemembered: store.size,
		jobsActive: dispatcher.activeJobs,
		tasksWaiting: dispatcher.waitingTasks,
		tasksInFlight: dispatcher.tasksInFlight,
		peerMessagesSent: peerTraffic.messages,
		peerBytesSent: peerTraffic.bytes,
		catalogueOffset: catalogue.catalogue.nextOffset,
		catalogueAgeMs: catalogue.ageMs ?? -1,
		residentBytes: process.memoryUsage.rss(),
		cpuSeconds: process.cpuUsage().user / 1e6,
	}));
	const targetClient = new InstrumentedTargetClient(
		new HttpTargetClient({...settings.targets, clock}),
		metrics,
		clock,
	);
	const limits = new SharedLimits({
		incarnation,
		catalogue: () => catalogue.catalogue,
		mesh: () => mesh,
		clock,
		onCapacityGained() {
			dispatcher.resume();
		},
	});
	const slots = createSlotAllocator(settings, limits);
	const dispatcher: Dispatcher = new Dispatcher({
		targetClient,
		clock,
		log,
		slots,
		zone: settings.zone,
		placement: settings.placement,
		startLimiter: limits.startLimiter,
		seed: randomInt(seedUpperBound),
	});
	const owner = new SubmissionOwner(
		store,
		dispatcher,
		clock,
		limits.startLimiter,
	);
	const catalogueComponents = createCatalogueComponents({
		settings,
		platform,
		clock,
		logger,
		mesh: () => mesh,
		createHello: () => createHello(),
		onMachineList(list) {
			updateMachines(list);
		},
	});
	const {follower: catalogue} = catalogueComponents;
	let isStopping = false;
	let firstListedAtMs: number | undefined;
	let hasBeenLinked = false;
	const startedAtMs = clock();
	let helloVersion = 0;
	const ownerSearch = new OwnerSearch({
		self: incarnation,
		clockSkewMs: settings.memory.clockSkewMs,
	});
	const handOverOptions = {
		self: incarnation,
		store,
		mesh: () => mesh,
		clock,
		log(event: string, peer: string) {
			logger.info({event, peer});
		},
	};
	const sender = new HandOverSender(handOverOptions);
	const forwarder = new PeerForwarder({
		mesh: () => mesh,
		search: ownerSearch,
		log,
		successor: () => sender.successor,
	});
	let relayedList: MachineList | undefined;
	const router: SubmissionRouter = new SubmissionRouter({
		store,
		owner,
		forwarder,
		sender,
		receiver: new HandOverReceiver(handOverOptions, sender),
		catalogue,
		clock,
		log,
		hasCatalogue: () => catalogue.isLoaded,
		isReady: () => catalogue.isLoaded && isLinked() && !isStopping,
	});
	const mesh: PeerMesh = new PeerMesh({
		name: settings.name,
		listenAddress: settings.peerAddress,
		link: settings.peers,
		createHello,
		onRequest: async (request) =>
			request.kind === 'catalogue'
				? catalogueComponents.relay.answer(request)
				: router.answerPeer(request),
		onHello(peerHello) {
			ownerSearch.updatePeer(peerHello);
			limits.exchange.handleHello(peerHello);
			catalogueComponents.receiveHello(peerHello);
		},
		onLinkHello(peerHello) {
			limits.exchange.handleLinkHello(peerHello);
		},
		onShares(messages) {
			limits.exchange.receive(messages);
		},
	});
	const callerServer = createCallerServer(
		new InstrumentedJobService(router, metrics, clock),
		settings,
	);
	const operatorServer = createOperatorServer(catalogueComponents.service);
	addMetricsRoutes(operatorServer, metrics, () => router.isReady());

	try {
		await mesh.listen();
		await callerServer.listen(parseHostAndPort(settings.callerAddress));
		await operatorServer.listen(parseHostAndPort(settings.operatorAddress));
	} catch (error: unknown) {
		// Servers that did start would keep the process running.
		await Promise.all([
			mesh.close(),
			callerServer.close(),
			operatorServer.close(),
			platform.close(),
		]);
		throw error;
	}

	logger.info({event: 'started', incarnation: incarnationKey(incarnation)});

	catalogueComponents.start();
	limits.exchange.start();
	const pollingAbort = new AbortController();
	let hasReadList = false;
	const pollingEnded = poll();

	async function poll(): Promise<void> {
		while (!pollingAbort.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- reads are sequential
			await readMachines();
			// eslint-disable-next-line no-await-in-loop
			await sleep(settings.platform.pollIntervalMs);
		}
	}

	/**
	 * Whether the links to all peers have been up once, or {@link maxLinkWaitMs} has passed. Callers submit identifiers of
	 * any entry VM, and without links this entry VM cannot find their owners.
	 */
	function isLinked(): boolean {
		hasBeenLinked ||=
			firstListedAtMs !== undefined &&
			(mesh.isLinkedToAll || clock() > firstListedAtMs + maxLinkWaitMs);
		return hasBeenLinked;
	}

	async function readMachines(): Promise<void> {
		const list = await platform.machines();
		if (list.isOk()) {
			hasReadList = true;
			catalogueComponents.machineList.replace(list.value);
			limits.updateMachines(list.value);
		} else if (!hasReadList && relayedList !== undefined) {
			limits.updateMachines(relayedList);
		}
	}

	function createHello(): Hello {
		helloVersion += 1;
		return {
			incarnation,
			startedAtMs,
			version: helloVersion,
			holds: store.ownedKeys,
			isLeaving: isStopping,
			catalogueOffset: catalogue.catalogue.nextOffset,
		};
	}

	function updateMachines(list: MachineList): void {
		const {machines} = list;
		relayedList = list;
		const entryVms = machines.filter((machine) => machine.role === 'entry');
		firstListedAtMs ??= clock();
		mesh.updateMembers(entryVms);
		ownerSearch.updateEntryVmList(entryVms.map(({name}) => name));
		const listed = machines.filter((machine) => machine.role === 'target');
		slots.update(entryVms, listed);
		dispatcher.updateTargets(listed);
	}

	return {
		incarnation,
		async stop() {
			isStopping = true;
			logger.info({event: 'stopping'});
			const noticeUntilMs = clock() + settings.stop.noticeMs;
			await sender.handOverAndDrain(
				noticeUntilMs,
				noticeUntilMs + settings.stop.drainMs,
			);
			await Promise.all([callerServer.close(), operatorServer.close()]);
			pollingAbort.abort();
			await Promise.all([pollingEnded, catalogueComponents.stop()]);
			limits.exchange.stop();
			await sleep(ledgerFlushMs);
			await mesh.close();
			await Promise.all([targetClient.close(), platform.close()]);
			logger.info({event: 'stopped'});
		},
	};
}

function createSlotAllocator(
	{placement, name, zone}: Settings,
	{ledger, exchange}: SharedLimits,
): LedgerSlots | FixedSlotShares | UncoordinatedSlots {
	switch (placement.slots) {
		case 'lent': {
			return new LedgerSlots(ledger, zone, () => {
				exchange.scheduleTick();
			});
		}

		case 'fixed': {
			return new FixedSlotShares({name, zone});
		}

		case 'shared': {
			return new UncoordinatedSlots();
		}
	}
}

function parseHostAndPort(address: string): {
	readonly host: string;
	readonly port: number;
} {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon),
		port: Number(address.slice(colon + 1)),
	};
}
