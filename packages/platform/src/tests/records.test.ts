import {describe, expect, it} from 'vitest';
import {type QueueSetting} from '@verbenarouter/core';
import {decodeDesiredState} from '../desired-state-record.js';
import {decodeEvacuations} from '../evacuation-record.js';
import {parseEntrySettings} from '../entry-settings.js';
import {decodeJob, encodeAnswer} from '../job-record.js';
import {decodeWorker} from '../worker-record.js';

const settings = {
	name: 'edge-1',
	zone: 'a',
	zones: ['a', 'b'],
	callerAddress: '127.0.0.1:1',
	readinessAddress: '127.0.0.1:2',
	peerAddress: '127.0.0.1:3',
	peerSeeds: [],
	metricsAddress: '127.0.0.1:4',
	isFirstStart: true,
	processorShare: 0.675,
	storeAddress: '127.0.0.1:5',
	workerLeaseMs: 1000,
	workerStopMs: 50,
	stopGraceMs: 6000,
};

const queue: QueueSetting = {
	name: 'r-1',
	host: 'a.example',
	pathPrefix: '/q/',
	service: 's',
	priority: 0,
	mostAttempts: 2,
	stretch: 1.6,
	latencyMs: 60,
};

const worker = {
	service: 's',
	address: '127.0.0.1:80',
	zone: 'a',
	state: 'ready',
	capacity: {cpu: 64_000, memMb: 131_072},
	labels: ['a', 'r1-1'],
	born: 5,
};

describe('entry settings', () => {
	it('are parsed from JSON with comments, without unknown fields', () => {
		const text = `// comment\n${JSON.stringify({...settings, later: 1})}`;
		expect(parseEntrySettings(text)._unsafeUnwrap()).toEqual(settings);
	});

	it('are rejected with an error for each invalid field', () => {
		const text = JSON.stringify({...settings, zone: 7, storeAddress: 'x'});
		expect(parseEntrySettings(text)._unsafeUnwrapErr()).toEqual([
			'zone: must be a text that is not empty',
			'storeAddress: must be host:port',
		]);
	});

	it('are rejected with the position of a syntax error', () => {
		expect(parseEntrySettings('{"name": }')._unsafeUnwrapErr()[0]).toMatch(
			/^not JSON with comments: \w+ at character 9$/v,
		);
	});
});

describe('worker records', () => {
	it('are decoded with 0 for missing numbers', () => {
		expect(decodeWorker('w', JSON.stringify(worker))).toMatchObject({
			id: 'w',
			capacity: {processorMillis: 64_000, accelerators: 0},
			bornMs: 5,
		});
	});

	it.each([
		['invalid JSON', 'bytes \u0000'],
		['a list', '[]'],
		['no service', JSON.stringify({...worker, service: undefined})],
		['an unknown state', JSON.stringify({...worker, state: 'odd'})],
		['an address of another type', JSON.stringify({...worker, address: 9})],
		['a capacity of another type', JSON.stringify({...worker, capacity: '9'})],
		['a negative capacity', JSON.stringify({...worker, capacity: {cpu: -1}})],
	])('with %s are rejected', (_, text) => {
		expect(decodeWorker('w', text)).toBeUndefined();
	});
});

describe('desired states', () => {
	it('are decoded without their invalid queues', () => {
		const text = JSON.stringify({
			version: 7,
			routes: [{name: 'r-1', service: 's', pathPrefix: '/q/'}, {name: 3}, 4],
			services: [
				{name: 's', rejectsOverload: true},
				{name: 'open', rejectsOverload: false},
				{name: 'silent'},
			],
		});
		expect(decodeDesiredState(text)).toMatchObject({
			version: 7,
			queues: [{name: 'r-1', stretch: 1, mostAttempts: 1}],
			services: ['s', 'open', 'silent'],
			unguardedServices: ['open'],
		});
	});

	it('without a version are rejected', () => {
		expect(decodeDesiredState('{"routes":[]}')).toBeUndefined();
		expect(decodeDesiredState('no')).toBeUndefined();
	});
});

describe('jobs', () => {
	const decode = (body: unknown) =>
		decodeJob('00000000000000aa', queue, JSON.stringify(body), 1500);

	it('are decoded into tasks with the names that workers use', () => {
		const job = decode({
			spec: 'x',
			bestEffort: true,
			steps: [{count: 2, cpu: 27_000, memMb: 64, estimatedMs: 60}],
		})._unsafeUnwrap();
		expect(job.tasks.map(({name}) => name)).toEqual([
			'00000000000000aa.0.0.0',
			'00000000000000aa.0.0.1',
		]);
		expect(job).toMatchObject({queue: 'r-1', spec: 'x', patienceMs: 1500});
	});

	it.each([
		['text', 'malformed', 'the body is not a JSON object'],
		[{bestEffort: true}, 'malformed', 'steps: must be a list of objects'],
		[{steps: [{}]}, 'unsupported', 'bestEffort: only true is supported'],
		[
			{bestEffort: true, steps: [{dependsOn: [0]}]},
			'unsupported',
			'steps[0].dependsOn: not supported',
		],
		[
			{bestEffort: true, steps: [{gang: true}]},
			'unsupported',
			'steps[0].gang: not supported',
		],
		[
			{bestEffort: true, steps: [{count: -1}]},
			'malformed',
			'steps[0]: count, cpu, memMb, gpu and estimatedMs must be numbers from 0 to 1000000000',
		],
		[
			{bestEffort: true, steps: [{cpu: 1e300}]},
			'malformed',
			'steps[0]: count, cpu, memMb, gpu and estimatedMs must be numbers from 0 to 1000000000',
		],
		// Without a limit on the sum, this body asks for more tasks than fit into memory.
		[
			{
				bestEffort: true,
				steps: Array.from({length: 10_000}, () => ({count: 10_000})),
			},
			'malformed',
			'steps: over 10000 tasks',
		],
	])('%j is rejected with the name of the field', (body, kind, message) => {
		expect(decode(body)._unsafeUnwrapErr()).toEqual({kind, message});
	});
});

describe('requests to evacuate zones', () => {
	it('are the records of a zone, whatever their value; their deletion withdraws them', () => {
		expect(
			decodeEvacuations(
				[
					{key: 'config', value: '{}'},
					{key: 'evacuate/a', value: '{}'},
					{key: 'evacuate/b', value: undefined},
					{key: 'evacuate/a', value: '\u0000'},
					{key: 'evacuate/', value: '{}'},
				],
				['a', 'b'],
			),
		).toEqual({
			changes: [
				{zone: 'a', isEvacuated: true},
				{zone: 'b', isEvacuated: false},
				{zone: 'a', isEvacuated: true},
			],
			unknownKeys: ['evacuate/'],
		});
	});
});

describe('workers', () => {
	it('are ignored if no command could be sent to them', () => {
		const text = (change: Record<string, unknown>) =>
			JSON.stringify({...worker, ...change});
		expect(decodeWorker('i-1', text({coldRemainingMs: 500}))?.coldMs).toBe(500);
		expect(
			decodeWorker('i-1', text({address: '127.0.0.1:99999'})),
		).toBeUndefined();
		expect(decodeWorker('i-1\n', text({}))).toBeUndefined();
	});
});

describe('encoded answers', () => {
	it('have a status after which callers do not resubmit a job that did not run', () => {
		expect(
			encodeAnswer({kind: 'not-run', reason: 'overloaded', retryAfterMs: 1200}),
		).toMatchObject({status: 429, retryAfterMs: 1200});
		expect(
			encodeAnswer({kind: 'not-run', reason: 'queue-unknown'}).status,
		).toBe(404);
		expect(encodeAnswer({kind: 'not-run', reason: 'no-workers'}).status).toBe(
			503,
		);
	});

	it('have a status after which callers resubmit a job that may have run', () => {
		expect(
			encodeAnswer({kind: 'may-have-run', reason: 'leader-lost'}).status,
		).toBe(502);
		expect(
			encodeAnswer({kind: 'may-have-run', reason: 'deadline-exceeded'}).status,
		).toBe(504);
	});
});
