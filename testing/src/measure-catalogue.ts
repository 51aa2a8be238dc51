/**
 * Measures how long edits take until they are in force in all entry VMs, with and without the relay between them, what
 * that costs in calls to the platform, and how long a replay takes.
 *
 * `node testing/dist/measure-catalogue.js [EDITS] [ENTRY_VMS]`, each entry VM in an availability zone of its own
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Catalogue, seededRandom, type Edit} from '@verbenarouter/core';
import {build} from 'hdr-histogram-js';
import {Installation, requestJson, createEntryItem, createTeamItem} from './installation.js';
import {Operator} from './operator-client.js';
import {type PlatformRequestCounts} from './platform-stand-in.js';

const [edits = 20, size = 9] = process.argv.slice(2).map(Number);
const zones = Array.from({length: size}, (_, index) => `zone-${index}`);
const readIntervalMs = 2000;
const operator = new Operator('operators');
const largestPauseMs = 500;

type InForceTimes = {
	readonly readIntervalMs: number;
	readonly edits: number;
	readonly entryVms: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly maximumMs: number;
	readonly readsPerSecondAndEntryVm: number;
	readonly appendsPerEdit: number;
};

async function counts({platform}: Installation): Promise<PlatformRequestCounts> {
	const {body} = await requestJson<PlatformRequestCounts>(
		'GET',
		`${platform.address}/control/counts`,
	);
	return body;
}

/** Times from the operator's request until the last entry VM has the edit in force. */
async function measureInForce(isCut: boolean): Promise<InForceTimes> {
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
	if (isCut) {
		// Without peers an entry VM hears of an edit only from its own reads of the log.
		await Promise.all(
			zones.map(async (zone) => installation.proxies.isolateZone(zone)),
		);
	}

	const random = seededRandom(1);
	const times = build({numberOfSignificantValueDigits: 3});
	await sleep(readIntervalMs);
	const before = await counts(installation);
	const startedAtMs = performance.now();
	let revision = 3;
	for (let edit = 0; edit < edits; edit++) {
		const editedAtMs = performance.now();
		const part = entryVms[edit % entryVms.length]!;
		// eslint-disable-next-line no-await-in-loop -- one edit after the other
		const {body} = await operator.putItem(
			part,
			createEntryItem('macro-check', {classOfWork: `class-${edit}`}),
			revision,
		);
		if (body.code !== 'accepted') {
			throw new Error(`the edit was not accepted: ${JSON.stringify(body)}`);
		}

		revision = body.revision;
		// eslint-disable-next-line no-await-in-loop
		await operator.waitUntilInForce(entryVms, revision);
		times.recordValue(Math.round(performance.now() - editedAtMs));
		// eslint-disable-next-line no-await-in-loop -- spread over the interval of the reads
		await sleep(random() * largestPauseMs);
	}

	const seconds = (performance.now() - startedAtMs) / 1000;
	const after = await counts(installation);
	await installation.stop();
	return {
		readIntervalMs,
		edits,
		entryVms: entryVms.length,
		p50Ms: times.getValueAtPercentile(50),
		p90Ms: times.getValueAtPercentile(90),
		maximumMs: times.maxValue,
		readsPerSecondAndEntryVm:
			(after.reads - before.reads) / seconds / entryVms.length,
		appendsPerEdit: (after.appends - before.appends) / edits,
	};
}

/** Time of a replay at once and one record at a time, and the size of a snapshot. */
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
	const startedAtMs = performance.now();
	const catalogue = new Catalogue().applyAll(log);
	const atOnceMs = performance.now() - startedAtMs;
	let oneByOne = new Catalogue();
	const secondAtMs = performance.now();
	for (const {offset, record} of log) {
		oneByOne = oneByOne.apply(offset, record);
	}

	const oneByOneMs = performance.now() - secondAtMs;
	const snapshot = catalogue.toSnapshot();
	const text = JSON.stringify(snapshot);
	const adoptedAtMs = performance.now();
	Catalogue.fromSnapshot(JSON.parse(text) as typeof snapshot);
	return {
		items: catalogue.items.length,
		records,
		atOnceMs: Math.round(atOnceMs),
		oneByOneMs: Math.round(oneByOneMs),
		snapshotBytes: text.length,
		adoptMs: Math.round(performance.now() - adoptedAtMs),
	};
}

console.table(
	[
		[100, 10_000],
		[400, 10_000],
		[850, 10_000],
	].map(([items = 0, records = 0]) => measureReplay(items, records)),
);
const relayed = await measureInForce(false);
const readOnly = await measureInForce(true);
console.table({'with relay': relayed, 'each reads alone': readOnly});
// Connections that went silent would keep the process alive.
// eslint-disable-next-line unicorn/no-process-exit
process.exit();
