/**
 * Measures the catalogue: the time from an operator's edit until it is in force in all entry VMs, with and without relay
 * between entry VMs, the calls to the platform, and the duration of a replay.
 *
 * Usage: `node testing/dist/measure-catalogue.js [EDITS] [ENTRY_VMS]`. Each entry VM is in an availability zone of its own.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Catalogue, seededRandom, type Edit} from '@verbenarouter/core';
import {build} from 'hdr-histogram-js';
import {
	Installation,
	requestJson,
	createEntryItem,
	createTeamItem,
} from './installation.js';
import {Operator} from './operator-client.js';
import {type PlatformRequestCounts} from './platform-stand-in.js';

const [editCount = 20, entryVmCount = 9] = process.argv.slice(2).map(Number);
const zones = Array.from({length: entryVmCount}, (_, index) => `zone-${index}`);
const readIntervalMs = 2000;
const operator = new Operator('operators');
const maximumPauseMs = 500;

/** Propagation times of the edits, and the calls that the platform received in that time. */
type PropagationReport = {
	readonly readIntervalMs: number;
	readonly edits: number;
	readonly entryVms: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly maximumMs: number;
	readonly readsPerSecondAndEntryVm: number;
	readonly appendsPerEdit: number;
};

/** Reads the numbers of calls, by kind, that the stand-in of the platform has received. */
async function readPlatformCounts({
	platform,
}: Installation): Promise<PlatformRequestCounts> {
	const {body} = await requestJson<PlatformRequestCounts>(
		'GET',
		`${platform.address}/control/counts`,
	);
	return body;
}

/**
 * Measures the time from the operator's request until the last entry VM has the edit in force. With `isRelayCut`, the
 * entry VMs cannot reach each other.
 */
async function measureEditPropagation(
	isRelayCut: boolean,
): Promise<PropagationReport> {
	const installation = await Installation.start({
		zones,
		entryVmsPerZone: 1,
		targetsPerZone: 0,
		isProxied: true,
		items: [
			createTeamItem('coastal'),
			createTeamItem('operators', {role: 'operator'}),
			createEntryItem('macro-check'),
		],
		settings: {
			catalogue: {readIntervalMs, snapshotJitterMs: 100},
		},
	});
	const {entryVms} = installation;
	if (isRelayCut) {
		// Without connections to peers, an entry VM receives edits only by its own reads of the log.
		await Promise.all(
			zones.map(async (zone) => installation.proxies.isolateZone(zone)),
		);
	}

	const random = seededRandom(1);
	const times = build({numberOfSignificantValueDigits: 3});
	await sleep(readIntervalMs);
	const before = await readPlatformCounts(installation);
	const startedAtMs = performance.now();
	let revision = 3;
	for (let edit = 0; edit < editCount; edit++) {
		const editedAtMs = performance.now();
		const receiver = entryVms[edit % entryVms.length]!;
		// eslint-disable-next-line no-await-in-loop -- each edit is measured alone
		const {body} = await operator.putItem(
			receiver,
			createEntryItem('macro-check', {classOfWork: `class-${edit}`}),
			revision,
		);
		if (body.code !== 'accepted') {
			throw new Error(
				`expected edit ${edit} to be accepted, got ${JSON.stringify(body)}`,
			);
		}

		revision = body.revision;
		// eslint-disable-next-line no-await-in-loop
		await operator.waitUntilInForce(entryVms, revision);
		times.recordValue(Math.round(performance.now() - editedAtMs));
		// eslint-disable-next-line no-await-in-loop -- random pauses spread the edits over the interval of the reads
		await sleep(random() * maximumPauseMs);
	}

	const seconds = (performance.now() - startedAtMs) / 1000;
	const after = await readPlatformCounts(installation);
	await installation.stop();
	return {
		readIntervalMs,
		edits: editCount,
		entryVms: entryVms.length,
		p50Ms: times.getValueAtPercentile(50),
		p90Ms: times.getValueAtPercentile(90),
		maximumMs: times.maxValue,
		readsPerSecondAndEntryVm:
			(after.reads - before.reads) / seconds / entryVms.length,
		appendsPerEdit: (after.appends - before.appends) / editCount,
	};
}

/**
 * Measures the replay of a log in one call and record by record, and the size of its snapshot and the time to load it.
 */
function measureReplay(items: number, records: number) {
	const log = Array.from({length: records}, (_, offset) => {
		const name = `entry-${offset % items}`;
		return {
			offset,
			record: {
				type: 'edit',
				editId: `edit-${offset}`,
				kind: 'entry',
				name,
				basedOn: offset < items ? 0 : offset - items + 1,
				item: createEntryItem(name),
				author: 'operators',
				writtenAtMs: 0,
			} satisfies Edit,
		};
	});
	const replayStartedAtMs = performance.now();
	const catalogue = new Catalogue().applyAll(log);
	const atOnceMs = performance.now() - replayStartedAtMs;
	let oneByOne = new Catalogue();
	const oneByOneStartedAtMs = performance.now();
	for (const {offset, record} of log) {
		oneByOne = oneByOne.apply(offset, record);
	}

	const oneByOneMs = performance.now() - oneByOneStartedAtMs;
	const snapshot = catalogue.toSnapshot();
	const snapshotText = JSON.stringify(snapshot);
	const loadStartedAtMs = performance.now();
	Catalogue.fromSnapshot(JSON.parse(snapshotText) as typeof snapshot);
	return {
		items: catalogue.items.length,
		records,
		atOnceMs: Math.round(atOnceMs),
		oneByOneMs: Math.round(oneByOneMs),
		snapshotBytes: snapshotText.length,
		adoptMs: Math.round(performance.now() - loadStartedAtMs),
	};
}

console.table(
	[
		[100, 10_000],
		[400, 10_000],
		[850, 10_000],
	].map(([items = 0, records = 0]) => measureReplay(items, records)),
);
const withRelay = await measureEditPropagation(false);
const withoutRelay = await measureEditPropagation(true);
console.table({'with relay': withRelay, 'without relay': withoutRelay});
// The connections that the proxies silenced would keep the process alive.
// eslint-disable-next-line unicorn/no-process-exit
process.exit();
