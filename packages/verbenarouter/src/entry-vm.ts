/** One entry VM: the parts put together, started and stopped. */
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
import {createCatalogue} from './catalogue.js';
import {steadyClock} from './clock.js';
import {LoggerDecisionLog} from './decision-log.js';
import {Dispatcher} from './dispatcher.js';
import {Limits} from './limits.js';
import {createLogger} from './logger.js';
import {MeasuredJobService, MeasuredTaskTargets} from './measured.js';
import {Metrics} from './metrics.js';
import {addMetricsRoutes} from './metrics-routes.js';
import {HandOverReceiver, HandOverSender} from './hand-over.js';
import {PeerForwarder} from './peer-forwarder.js';
import {type Settings} from './settings.js';
import {SubmissionOwner} from './submission-owner.js';
import {SubmissionRouter} from './submission-router.js';

const nonceBytes = 6;
const secretBytes = 32;
/** Time for the last messages of the share ledger to go out. */
const leaveGraceMs = 20;
const largestSeed = 2 ** 31;
/** Longest time for which an entry VM that has just started waits for its links before it is ready. */
const linkWaitMs = 3000;

/** A running entry VM. */
export type RunningEntryVm = {
	readonly incarnation: Incarnation;
	/** Stops without cutting off what is in flight. */
	stop(): Promise<void>;
};

/** Starts an entry VM. Rejects when an address cannot be bound. */
export async function startEntryVm(
	settings: Settings,
): Promise<RunningEntryVm> {
	const logger = createLogger(settings.log, settings.name);
	const log = new LoggerDecisionLog(logger);
	const clock = steadyClock;
	const incarnation: Incarnation = {
		zone: settings.zone,
		entryVm: settings.name,
		nonce: randomBytes(nonceBytes).toString('hex'),
	};
	const memory = new SubmissionStore(
		{issuer: incarnation, secret: randomBytes(secretBytes).toString('hex')},
		settings.memory,
	);
	const platform = new HttpPlatform(settings.platform);
	const metrics = new Metrics(() => ({
		submissionsRemembered: memory.size,
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
	const targets = new MeasuredTaskTargets(
		new HttpTargetClient({...settings.targets, clock}),
		metrics,
		clock,
	);
	const limits = new Limits({
		incarnation,
		catalogue: () => catalogue.catalogue,
		mesh: () => mesh,
		clock,
		onGain() {
			dispatcher.resume();
		},
	});
	const slots = slotsOf(settings, limits);
	const dispatcher: Dispatcher = new Dispatcher({
		targets,
		clock,
		log,
		slots,
		zone: settings.zone,
		placement: settings.placement,
		gate: limits.gate,
		seed: randomInt(largestSeed),
	});
	const owner = new SubmissionOwner(memory, dispatcher, clock, limits.gate);
	const catalogueParts = createCatalogue({
		settings,
		platform,
		clock,
		logger,
		mesh: () => mesh,
		hello: () => hello(),
		onList(list) {
			updateMachines(list);
		},
	});
	const {follower: catalogue} = catalogueParts;
	let isStopping = false;
	let listedAtMs: number | undefined;
	let wasLinked = false;
	const startedAtMs = clock();
	let helloVersion = 0;
	const search = new OwnerSearch({
		self: incarnation,
		clockSkewMs: settings.memory.clockSkewMs,
	});
	const handOverParts = {
		self: incarnation,
		memory,
		mesh: () => mesh,
		clock,
		log(event: string, peer: string) {
			logger.info({event, peer});
		},
	};
	const sender = new HandOverSender(handOverParts);
	const forwarder = new PeerForwarder({
		mesh: () => mesh,
		search,
		log,
		successor: () => sender.successor,
	});
	let relayedList: MachineList | undefined;
	const router: SubmissionRouter = new SubmissionRouter({
		memory,
		owner,
		forwarder,
		sender,
		receiver: new HandOverReceiver(handOverParts, sender),
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
		hello,
		onRequest: async (request) =>
			request.kind === 'catalogue'
				? catalogueParts.relay.answer(request)
				: router.answerPeer(request),
		onHello(heard) {
			search.updatePeer(heard);
			limits.exchange.heard(heard);
			catalogueParts.heard(heard);
		},
		onLinkHello(heard) {
			limits.exchange.linkUp(heard);
		},
		onShares(messages) {
			limits.exchange.receive(messages);
		},
	});
	const callers = createCallerServer(
		new MeasuredJobService(router, metrics, clock),
		settings,
	);
	const operators = createOperatorServer(catalogueParts.service);
	addMetricsRoutes(operators, metrics, () => router.isReady());

	try {
		await mesh.listen();
		await callers.listen(hostAndPort(settings.callerAddress));
		await operators.listen(hostAndPort(settings.operatorAddress));
	} catch (error: unknown) {
		// What did start would keep the process alive.
		await Promise.all([
			mesh.close(),
			callers.close(),
			operators.close(),
			platform.close(),
		]);
		throw error;
	}

	logger.info({event: 'started', incarnation: incarnationKey(incarnation)});

	catalogueParts.start();
	limits.exchange.start();
	const polling = new AbortController();
	let hasReadList = false;
	const polled = poll();

	async function poll(): Promise<void> {
		while (!polling.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one read after the other
			await readMachines();
			// eslint-disable-next-line no-await-in-loop
			await sleep(settings.platform.pollIntervalMs);
		}
	}

	/** Callers bring identifiers of all entry VMs, so that the first one waits until the links are there. */
	function isLinked(): boolean {
		wasLinked ||=
			listedAtMs !== undefined &&
			(mesh.isLinkedToAll || clock() > listedAtMs + linkWaitMs);
		return wasLinked;
	}

	async function readMachines(): Promise<void> {
		const list = await platform.machines();
		if (list.isOk()) {
			hasReadList = true;
			catalogueParts.list.read(list.value);
			limits.updateMachines(list.value);
		} else if (!hasReadList && relayedList !== undefined) {
			limits.updateMachines(relayedList);
		}
	}

	function hello(): Hello {
		helloVersion += 1;
		return {
			incarnation,
			startedAtMs,
			version: helloVersion,
			holds: memory.ownedKeys,
			isLeaving: isStopping,
			catalogueOffset: catalogue.catalogue.nextOffset,
		};
	}

	function updateMachines(list: MachineList): void {
		const {machines} = list;
		relayedList = list;
		const entryVms = machines.filter((machine) => machine.role === 'entry');
		listedAtMs ??= clock();
		mesh.updateMembers(entryVms);
		search.updateEntryVmList(entryVms.map(({name}) => name));
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
			await sender.run(noticeUntilMs, noticeUntilMs + settings.stop.drainMs);
			await Promise.all([callers.close(), operators.close()]);
			polling.abort();
			await Promise.all([polled, catalogueParts.stop()]);
			limits.exchange.stop();
			await sleep(leaveGraceMs);
			await mesh.close();
			await Promise.all([targets.close(), platform.close()]);
			logger.info({event: 'stopped'});
		},
	};
}

function slotsOf(
	{placement, name, zone}: Settings,
	{ledger, exchange}: Limits,
): LedgerSlots | FixedSlotShares | UncoordinatedSlots {
	switch (placement.slots) {
		case 'lent': {
			return new LedgerSlots(ledger, zone, () => {
				exchange.poke();
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

function hostAndPort(address: string): {
	readonly host: string;
	readonly port: number;
} {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon),
		port: Number(address.slice(colon + 1)),
	};
}
