import {describe, expect, it} from 'vitest';
import {type PoolAnswer, type ReturnableJob} from '@verbenarouter/core';
import {type PoolMessage} from '@verbenarouter/peer';
import {type LogFields} from '../logger.js';
import {ReturnableExchange} from '../pool/returnable-exchange.js';

const leader = {name: 'other', token: 8};

class ExchangeFixture {
	jobs: readonly ReturnableJob[] = [];
	activeIds: readonly string[] = [];
	answer: PoolAnswer | undefined;
	hasSpace = true;
	searchCount = 0;
	startedIds: readonly string[] = [];
	readonly sent: PoolMessage[] = [];
	readonly recipients: string[] = [];
	readonly lines: LogFields[] = [];
	readonly stoppedIds: string[] = [];
	readonly recorded: string[] = [];
	readonly exchange = new ReturnableExchange({
		scheduler: {
			findReturnableJobs: () => {
				this.searchCount += 1;
				return this.jobs;
			},
			hasUnclaimedRuns: false,
			createActivityTest: () => (id) => this.activeIds.includes(id),
			getJobState: () => this.answer,
			stopReturnableJob: (id) => {
				this.stoppedIds.push(id);
			},
			recordJobsElsewhere: (_, ids) => {
				this.recorded.push(...ids);
				return this.hasSpace ? this.startedIds : undefined;
			},
			recordEndedJobsElsewhere: (_, ended) => {
				this.recorded.push(...ended.map(({id}) => `ended ${id}`));
			},
			jobsElsewhereCount: 0,
		},
		send: (names, message) => {
			this.recipients.push(...names);
			this.sent.push(message);
		},
		writeLog: (fields) => {
			this.lines.push(fields);
		},
	});

	/** Updates every 20 ms. */
	run(fromMs: number, toMs: number, token = 7): void {
		for (let now = fromMs; now <= toMs; now += 20) {
			this.exchange.update(
				{
					ledZones: new Map([['zone-a', token]]),
					findOtherLeaders: () => [leader],
					findRecipients: () => ['other', 'candidate'],
				},
				now,
			);
		}
	}
}

const lostJob: ReturnableJob = {
	id: 'j1',
	cause: 'caller-lost',
	sinceMs: 1000,
};

describe('exchange of jobs that callers may send to another zone', () => {
	it('tells all recipients of a job, and of its answer', () => {
		const fixture = new ExchangeFixture();
		fixture.jobs = [lostJob];
		fixture.run(1000, 1040);
		fixture.jobs = [];
		fixture.answer = {kind: 'completed'};
		fixture.run(1060, 1060);
		expect(fixture.sent).toEqual([
			{type: 'returnable-jobs', sequence: 1, held: ['j1'], ended: []},
			{
				type: 'returnable-jobs',
				sequence: 2,
				held: [],
				ended: [{id: 'j1', answer: {kind: 'completed'}}],
			},
		]);
		expect(new Set(fixture.recipients)).toEqual(
			new Set(['other', 'candidate']),
		);
		expect(fixture.lines).toMatchObject([
			{event: 'returnable-announced', held: 'j1', ended: ''},
			{event: 'returnable-announced', held: '', ended: 'j1'},
		]);
	});

	it('has a job stopped that only a candidate has confirmed, and logs it once', () => {
		const fixture = new ExchangeFixture();
		fixture.jobs = [lostJob];
		fixture.run(1000, 1040);
		fixture.exchange.receive(
			'candidate',
			{type: 'returnable-jobs-noted', sequence: 1},
			1040,
		);
		fixture.run(1060, 2120);
		expect(new Set(fixture.stoppedIds)).toEqual(new Set(['j1']));
		expect(
			fixture.lines.filter(({event}) => event === 'returnable-stopped'),
		).toEqual([{event: 'returnable-stopped', id: 'j1', reason: 'caller-lost'}]);
	});

	it.each([
		['a new token', 1060, 8],
		['a suspension', 1400, 7],
	])('tells no end of a job after %s', (_, resumedMs, token) => {
		const fixture = new ExchangeFixture();
		fixture.jobs = [lostJob];
		fixture.run(1000, 1040);
		fixture.jobs = [];
		fixture.run(resumedMs, resumedMs + 100, token);
		expect(fixture.sent).toHaveLength(1);
	});

	it('looks for jobs at each check only while one is announced', () => {
		const fixture = new ExchangeFixture();
		fixture.run(1000, 1580);
		expect(fixture.searchCount).toBe(10);
		fixture.jobs = [lostJob];
		fixture.run(1600, 2180);
		expect(fixture.searchCount).toBe(40);
	});

	it('sends nothing without leadership, as under one leader for all zones', () => {
		const fixture = new ExchangeFixture();
		fixture.jobs = [lostJob];
		fixture.exchange.update(
			{
				ledZones: new Map(),
				findOtherLeaders: () => [],
				findRecipients: () => ['other'],
			},
			1000,
		);
		expect(fixture.sent).toEqual([]);
	});

	it('confirms what it has recorded, and logs jobs that have started here already', () => {
		const fixture = new ExchangeFixture();
		fixture.startedIds = ['j2'];
		const notice = {
			type: 'returnable-jobs',
			sequence: 5,
			held: ['j1', 'j2'],
			ended: [{id: 'j3'}],
		} as const;
		fixture.exchange.receive('other', notice, 1000);
		expect(fixture.recorded).toEqual(['j1', 'j2', 'ended j3']);
		expect(fixture.sent).toEqual([
			{type: 'returnable-jobs-noted', sequence: 5},
		]);
		expect(fixture.lines).toEqual([
			{event: 'started-elsewhere', id: 'j2', from: 'other'},
		]);
		fixture.hasSpace = false;
		fixture.exchange.receive('other', notice, 1000);
		expect(fixture.sent).toHaveLength(1);
		expect(fixture.lines.at(-1)).toEqual({
			event: 'jobs-elsewhere-full',
			from: 'other',
			jobs: 2,
		});
	});
});
