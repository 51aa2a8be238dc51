import {describe, expect, it} from 'vitest';
import {HeartbeatCheck} from '../heartbeat-check.js';

const now = 1_700_000_000_000;
const check = new HeartbeatCheck(['zone-a', 'zone-b']);
const lastBuild = {
	name: 'entry-1',
	zone: 'zone-a',
	address: '127.0.0.1:7000',
	incarnation: 'entry-1-5',
	intervalMs: 100,
	processorShare: 0.675,
	isStopping: false,
	isWarm: true,
	leads: {'zone-a': now * 4000},
	highestToken: now * 4000 + 10_000,
	hears: {'zone-b': 7},
	yields: {'zone-b': 'entry-2'},
	members: [{name: 'entry-2', zone: 'zone-b', address: '127.0.0.1:7001'}],
};
const leader = {
	zone: 'zone-b',
	name: 'entry-2',
	address: '127.0.0.1:7001',
	token: 7,
};

describe('HeartbeatCheck', () => {
	it('accepts heartbeats of this build and of the last one', () => {
		const present = {
			...lastBuild,
			scope: 'zone',
			spareMillis: {'zone-a': 64_000},
			isCandidate: true,
			leaders: [leader, {...leader, spareMillis: 0}],
			members: [
				{...lastBuild.members[0], processorShare: 1, ageMs: 50},
				...Array.from({length: 1000}, (_, index) => ({
					name: `entry-${index}`,
					zone: 'zone-a',
					address: `127.0.0.1:${index + 1}`,
				})),
			],
			futureField: 1,
		};
		expect(
			[lastBuild, present].map((heartbeat) =>
				check.findProblem(heartbeat, now),
			),
		).toEqual([undefined, undefined]);
	});

	it.each([
		['name', ''],
		['name', 'x'.repeat(201)],
		['name', undefined],
		['zone', 'zone-c'],
		['address', '127.0.0.1'],
		['intervalMs', 0],
		['intervalMs', 1e9],
		['intervalMs', Number.NaN],
		['processorShare', -1],
		['isStopping', 'no'],
		['leads', {'zone-c': 1}],
		['leads', {'zone-a': (now + 7_200_000) * 4000}],
		['leads', null],
		['highestToken', 1e300],
		['highestToken', '9'],
		['yields', {'zone-a': 5}],
		['scope', 'planet'],
		['spareMillis', {'zone-a': -1}],
		['leaders', [{...leader, token: -1}]],
		['leaders', [leader, leader, leader]],
		['members', undefined],
		['members', [{name: 'entry-2', zone: 'zone-c', address: '127.0.0.1:1'}]],
		['members', Array.from({length: 5000}, () => lastBuild.members[0])],
	])('names the field %s with %j', (field, value) => {
		expect(check.findProblem({...lastBuild, [field]: value}, now)).toBe(field);
	});

	it('rejects what is no object', () => {
		expect(
			[null, undefined, 5, 'text'].map((value) =>
				check.findProblem(value, now),
			),
		).toEqual(Array.from({length: 4}, () => 'the value itself'));
	});
});
