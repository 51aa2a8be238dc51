/** One entry VM: the parts put together, started and stopped. */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer} from '@verbenarouter/caller';
import {
	SubmissionMemory,
	incarnationKey,
	type Incarnation,
} from '@verbenarouter/core';
import {PeerMesh} from '@verbenarouter/peer';
import {HttpPlatform} from '@verbenarouter/platform';
import {HttpTaskTargets} from '@verbenarouter/target';
import {CatalogueFollower} from './catalogue-follower.js';
import {steadyClock} from './clock.js';
import {LoggerDecisionLog} from './decision-log.js';
import {Dispatcher} from './dispatcher.js';
import {createLogger} from './logger.js';
import {MeasuredJobService, MeasuredTaskTargets} from './measured.js';
import {Metrics} from './metrics.js';
import {type Settings} from './settings.js';
import {SubmissionOwner} from './submission-owner.js';
import {SubmissionRouter} from './submission-router.js';

const nonceBytes = 6;
const secretBytes = 32;
const drainPollMs = 20;

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
	const metrics = new Metrics(() => ({
		submissionsRemembered: memory.size,
		jobsActive: dispatcher.activeJobs,
		catalogueOffset: catalogue.catalogue.nextOffset,
		residentBytes: process.memoryUsage.rss(),
		cpuSeconds: process.cpuUsage().user / 1e6,
	}));
	const targets = new MeasuredTaskTargets(
		new HttpTaskTargets({...settings.targets, clock}),
		metrics,
		clock,
	);
	const dispatcher: Dispatcher = new Dispatcher(targets, clock, log);
	const owner = new SubmissionOwner(memory, dispatcher, clock);
	let isStopping = false;
	const router: SubmissionRouter = new SubmissionRouter({
		memory,
		owner,
		mesh: () => mesh,
		catalogue,
		clock,
		log,
		hasCatalogue: () => catalogue.isLoaded,
		isReady: () => catalogue.isLoaded && !isStopping,
	});
	const mesh: PeerMesh = new PeerMesh({
		name: settings.name,
		listenAddress: settings.peerAddress,
		link: settings.peers,
		hello: () => ({incarnation, holds: memory.holds}),
		onRequest: async (request) => router.answerPeer(request),
		onHello() {
			// What a peer says of itself is kept by its link.
		},
	});
	const callers = createCallerServer(
		new MeasuredJobService(router, metrics, clock),
		settings,
	);

	try {
		await mesh.listen();
		await callers.listen(hostAndPort(settings.callerAddress));
	} catch (error: unknown) {
		// What did start would keep the process alive.
		mesh.close();
		await Promise.all([callers.close(), platform.close()]);
		throw error;
	}

	logger.info({event: 'started', incarnation: incarnationKey(incarnation)});

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

	async function updateMachines(): Promise<void> {
		const list = await platform.machines();
		if (list.isOk()) {
			const {machines} = list.value;
			mesh.updateMembers(
				machines.filter((machine) => machine.role === 'entry'),
			);
			dispatcher.updateTargets(
				machines.filter((machine) => machine.role === 'target'),
			);
		}
	}

	return {
		incarnation,
		async stop() {
			isStopping = true;
			logger.info({event: 'stopping'});
			await sleep(settings.stop.noticeMs);
			const drainUntil = clock() + settings.stop.drainMs;
			while (dispatcher.activeJobs > 0 && clock() < drainUntil) {
				// eslint-disable-next-line no-await-in-loop
				await sleep(drainPollMs);
			}

			await callers.close();
			polling.abort();
			await polled;
			mesh.close();
			await Promise.all([targets.close(), platform.close()]);
			logger.info({event: 'stopped'});
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
