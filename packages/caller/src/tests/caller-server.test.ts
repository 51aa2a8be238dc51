import {
	createRefusal,
	type Job,
	type JobAnswer,
	type Refusal,
	type Team,
} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {
	createCallerServer,
	type JobService,
	type SubmissionStatus,
} from '../index.js';

const coastal: Team = {
	kind: 'team',
	name: 'coastal',
	tokenHash: '0'.repeat(64),
	role: 'caller',
	quota: {concurrency: 1, startsPerSecond: 1},
};

class FakeJobService implements JobService {
	readonly declined: Refusal[] = [];
	readonly submitted: Job[] = [];
	answer: JobAnswer = {identifier: 'id', verdict: 'completed', outputs: []};
	isLoaded = true;

	authenticate(token: string): Team | undefined {
		return token === 'right' ? coastal : undefined;
	}

	reserve(_team: Team, count: number): readonly string[] {
		return Array.from({length: count}, (_, index) => `id-${index}`);
	}

	async submit(_team: Team, _identifier: string, job: Job): Promise<JobAnswer> {
		this.submitted.push(job);
		return this.answer;
	}

	async status(): Promise<SubmissionStatus> {
		return {state: 'running'};
	}

	async decline(
		_team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		this.declined.push(reason);
		return {identifier, verdict: 'not-run', refusal: reason};
	}

	async cancel(
		_team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return {identifier, verdict: 'failed', refusal: reason};
	}

	hasCatalogue(): boolean {
		return this.isLoaded;
	}

	isReady(): boolean {
		return this.isLoaded;
	}
}

const headers = {
	authorization: 'Bearer right',
	'content-type': 'application/json',
};

function createFixture() {
	const service = new FakeJobService();
	const server = createCallerServer(service, {bodyLimitBytes: 1000});
	servers.push(server);
	const put = async (payload: string, change: Record<string, string> = {}) =>
		server.inject({
			method: 'PUT',
			url: '/v1/jobs/id',
			headers: {...headers, ...change},
			payload,
		});
	return {service, server, put};
}

const servers: Array<ReturnType<typeof createCallerServer>> = [];

afterEach(async () => {
	await Promise.all(servers.splice(0).map(async (server) => server.close()));
});

describe('the callers’ interface', () => {
	it('passes a job to the service and returns its answer to the caller', async () => {
		const {service, put} = createFixture();
		const answer = await put(
			JSON.stringify({entry: 'macro-check', tasks: [{input: 1}]}),
		);
		expect(answer.statusCode).toBe(200);
		expect(answer.json()).toEqual(service.answer);
		expect(service.submitted).toEqual([
			{entry: 'macro-check', tasks: [{input: 1}]},
		]);
	});

	it.each([
		['{"entry": ', 400, 'bad-request', /body: /v],
		['', 400, 'bad-request', /body: /v],
		[
			'{"entry": "Macro", "tasks": []}',
			400,
			'bad-request',
			/entry: .*; tasks: /v,
		],
		[
			'{"entry": "macro", "tasks": [{"input": 1, "size": 2}]}',
			400,
			'bad-request',
			/tasks\.0: .*size/v,
		],
		[
			'{"entry": "macro", "tasks": [{"input": 1}], "deadlineMs": -5}',
			400,
			'bad-request',
			/deadlineMs: /v,
		],
		[
			`{"entry": "macro", "tasks": [{"input": "${'x'.repeat(1000)}"}]}`,
			413,
			'too-large',
			/body: /v,
		],
	])(
		'declines the invalid body %j through the service',
		async (payload, status, code, message) => {
			const {service, put} = createFixture();
			const answer = await put(payload);
			expect(answer.statusCode).toBe(status);
			expect(answer.json()).toMatchObject({
				identifier: 'id',
				verdict: 'not-run',
				refusal: {code},
			});
			expect(service.declined[0]?.message).toMatch(message);
			expect(service.submitted).toEqual([]);
		},
	);

	it('declines a body whose media type is not JSON', async () => {
		const {service, put} = createFixture();
		const answer = await put('<job/>', {'content-type': 'application/xml'});
		expect(answer.statusCode).toBe(400);
		expect(service.declined).toHaveLength(1);
	});

	it('answers an unauthenticated caller `may-have-run` and declines nothing', async () => {
		const {service, put} = createFixture();
		const answer = await put('{}', {authorization: 'Bearer wrong'});
		expect(answer.statusCode).toBe(401);
		expect(answer.json()).toMatchObject({
			verdict: 'may-have-run',
			refusal: {code: 'unauthenticated'},
		});
		expect(service.declined).toEqual([]);
	});

	it('answers 503 with retry-after while no catalogue is loaded', async () => {
		const {service, put, server} = createFixture();
		service.isLoaded = false;
		const answer = await put('{}');
		expect(answer.statusCode).toBe(503);
		expect(answer.headers['retry-after']).toBe('1');
		const readiness = await server.inject('/readyz');
		expect(readiness.statusCode).toBe(503);
	});

	it('rounds retry-after up to whole seconds', async () => {
		const {service, put} = createFixture();
		service.answer = {
			identifier: 'id',
			verdict: 'not-run',
			refusal: createRefusal('overloaded', 'busy', 1200),
		};
		const answer = await put(
			JSON.stringify({entry: 'macro-check', tasks: [{input: 1}]}),
		);
		expect(answer.statusCode).toBe(503);
		expect(answer.headers['retry-after']).toBe('2');
	});

	it('limits the number of identifiers in one reservation', async () => {
		const {server} = createFixture();
		const reserve = async (count: unknown) =>
			server.inject({
				method: 'POST',
				url: '/v1/identifiers',
				headers,
				payload: {count},
			});
		const many = await reserve(3);
		expect(many.json()).toEqual({identifiers: ['id-0', 'id-1', 'id-2']});
		const tooMany = await reserve(1001);
		expect(tooMany.statusCode).toBe(400);
		expect(tooMany.json()).toMatchObject({
			refusal: {message: expect.stringContaining('count: ') as string},
		});
	});
});
