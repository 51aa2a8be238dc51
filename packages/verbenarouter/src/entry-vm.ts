/** One entry VM: the parts put together, started and stopped. */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer} from '@verbenarouter/caller';
import {
	SubmissionMemory,
	incarnationKey,
	type Incarnation,
	type MachineList,
} from '@verbenarouter/core';
import {createOperatorServer} from '@verbenarouter/operator';
import {PeerMesh, type Hello} from '@verbenarouter/peer';
import {HttpPlatform} from '@verbenarouter/platform';
import {HttpTaskTargets} from '@verbenarouter/target';
import {createCatalogue} from './catalogue.js';
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
	const metrics = new Metrics(() => ({
		submissionsRemembered: memory.size,
		jobsActive: dispatcher.activeJobs,
		catalogueOffset: catalogue.catalogue.nextOffset,
		catalogueAgeMs: catalogue.ageMs ?? -1,
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
	const router: SubmissionRouter = new SubmissionRouter({
		memory,
		owner,
		mesh: () => mesh,
		catalogue,
		clock,
		log,
		hasCatalogue: () => catalogue.isLoaded,
		isReady: () =>
			catalogue.isLoaded &&
			catalogueParts.list.newest !== undefined &&
			!isStopping,
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
			catalogueParts.heard(heard);
		},
	});
	const callers = createCallerServer(
		new MeasuredJobService(router, metrics, clock),
		settings,
	);
	const operators = createOperatorServer(catalogueParts.service);

	try {
		await mesh.listen();
		await callers.listen(hostAndPort(settings.callerAddress));
		await operators.listen(hostAndPort(settings.operatorAddress));
	} catch (error: unknown) {
		// What did start would keep the process alive.
		mesh.close();
		await Promise.all([callers.close(), operators.close(), platform.close()]);
		throw error;
	}

	logger.info({event: 'started', incarnation: incarnationKey(incarnation)});

	catalogueParts.start();
	const polling = new AbortController();
	const polled = poll();

	async function poll(): Promise<void> {
		while (!polling.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one read after the other
			await readMachines();
			// eslint-disable-next-line no-await-in-loop
			await sleep(settings.platform.pollIntervalMs);
		}
	}

	async function readMachines(): Promise<void> {
		const list = await platform.machines();
		if (list.isOk()) {
			catalogueParts.list.read(list.value);
		}
	}

	function hello(): Hello {
		return {
			incarnation,
			holds: memory.holds,
			catalogueOffset: catalogue.catalogue.nextOffset,
		};
	}

	function updateMachines({machines}: MachineList): void {
		mesh.updateMembers(machines.filter((machine) => machine.role === 'entry'));
		dispatcher.updateTargets(
			machines.filter((machine) => machine.role === 'target'),
		);
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

			await Promise.all([callers.close(), operators.close()]);
			polling.abort();
			await Promise.all([polled, catalogueParts.stop()]);
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
