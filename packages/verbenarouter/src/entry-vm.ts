/** One entry VM: the parts put together, started and stopped. */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer} from '@verbenarouter/caller';
import {
	OwnerSearch,
	SubmissionMemory,
	incarnationKey,
	type Incarnation,
} from '@verbenarouter/core';
import {PeerMesh} from '@verbenarouter/peer';
import {HttpPlatform} from '@verbenarouter/platform';
import {HttpTaskTargets} from '@verbenarouter/target';
import {CatalogueFollower} from './catalogue-follower.js';
import {steadyClock} from './clock.js';
import {LoggerDecisionLog, createLogger} from './decision-log.js';
import {Dispatcher} from './dispatcher.js';
import {HandOverReceiver, HandOverSender} from './hand-over.js';
import {PeerForwarder} from './peer-forwarder.js';
import {type Settings} from './settings.js';
import {SubmissionOwner} from './submission-owner.js';
import {SubmissionRouter} from './submission-router.js';

const nonceBytes = 6;
const secretBytes = 32;
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
	const memory = new SubmissionMemory(
		{issuer: incarnation, secret: randomBytes(secretBytes).toString('hex')},
		settings.memory,
	);
	const platform = new HttpPlatform(settings.platform);
	const catalogue = new CatalogueFollower(platform);
	const targets = new HttpTaskTargets({...settings.targets, clock});
	const dispatcher = new Dispatcher(targets, clock, log);
	const owner = new SubmissionOwner(memory, dispatcher, clock);
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
		log(message: string, peer: string) {
			logger.info(message, {peer});
		},
	};
	const sender = new HandOverSender(handOverParts);
	const forwarder = new PeerForwarder({
		mesh: () => mesh,
		search,
		log,
		successor: () => sender.successor,
	});
	const router: SubmissionRouter = new SubmissionRouter({
		memory,
		owner,
		forwarder,
		sender,
		receiver: new HandOverReceiver(handOverParts, sender),
		catalogue,
		clock,
		log,
		isReady: () => catalogue.isLoaded && isLinked() && !isStopping,
	});
	const mesh: PeerMesh = new PeerMesh({
		name: settings.name,
		listenAddress: settings.peerAddress,
		link: settings.peers,
		hello() {
			helloVersion += 1;
			return {
				incarnation,
				startedAtMs,
				version: helloVersion,
				holds: memory.holds,
				isLeaving: isStopping,
			};
		},
		onRequest: async (request) => router.answerPeer(request),
		onHello(hello) {
			search.updatePeer(hello);
		},
	});
	const callers = createCallerServer(router, settings);

	await mesh.listen();
	await callers.listen(hostAndPort(settings.callerAddress));
	logger.info('started', {incarnation: incarnationKey(incarnation)});

	const polling = new AbortController();
	const polled = poll();

	async function poll(): Promise<void> {
		while (!polling.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one read after the other
			await Promise.all([catalogue.follow(), updateMachines()]);
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

	async function updateMachines(): Promise<void> {
		const list = await platform.machines();
		if (list.isOk()) {
			listedAtMs ??= clock();
			const {machines} = list.value;
			const entryVms = machines.filter((machine) => machine.role === 'entry');
			mesh.updateMembers(entryVms);
			search.updateList(entryVms.map(({name}) => name));
			dispatcher.updateTargets(
				machines.filter((machine) => machine.role === 'target'),
			);
		}
	}

	return {
		incarnation,
		async stop() {
			isStopping = true;
			logger.info('stopping');
			const now = clock();
			const noticeUntilMs = now + settings.stop.noticeMs;
			await sender.run(noticeUntilMs, noticeUntilMs + settings.stop.drainMs);
			await callers.close();
			polling.abort();
			await polled;
			await mesh.close();
			await Promise.all([targets.close(), platform.close()]);
			logger.info('stopped');
		},
	};
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
