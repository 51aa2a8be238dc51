import {
	type DesiredState,
	type HeartbeatTimes,
	type PoolAnswer,
	type PoolJob,
	type ZoneLeader,
} from '@verbenarouter/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {JobReceiver, type ReceiverMessage} from '../pool/job-receiver.js';
import {type ZoneView} from '../pool/zone-router.js';

const startMs = 1000;
const refusal: PoolAnswer = {kind: 'not-run', reason: 'overloaded'};
const letGo: PoolAnswer = {...refusal, isBalanced: true};

const desiredState: DesiredState = {
	version: 1,
	services: ['menu'],
	limits: {bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
	queues: [
		{
			name: 'macro-check',
			host: '',
			pathPrefix: '/',
			service: 'menu',
			priority: 0,
			mostAttempts: 1,
			stretch: 1.6,
			latencyMs: 60,
		},
	],
};

/** A job of one task of 8 cores and 100 ms, whose slack is 120 ms. */
function jobFixture(id: string): PoolJob {
	return {
		id,
		queue: 'macro-check',
		spec: '',
		attempt: `entry/${id}`,
		waitedMs: 0,
		patienceMs: 1500,
		tasks: [
			{
				name: `${id}.0.0.0`,
				needs: {processorMillis: 8000, memoryMb: 1, accelerators: 0},
				declaredMs: 100,
			},
		],
	};
}

/** View of a receiver in zone a whose leader reports a long wait while zone b has room. */
const longWait: Partial<ZoneView> = {
	ownWaits: {menu: {narrowMs: 100, wideMs: 100}},
	findRooms: () => [{zone: 'b', leader: 'leader-b', spareMillis: 20_000}],
};

/** A receiver in zone a; tests change the leaders and the reachable ones, and read what it has sent. */
class ReceiverFixture {
	readonly leaders = new Map<string, ZoneLeader>(
		['a', 'b', 'c'].map((zone) => [zone, {name: `leader-${zone}`, token: 1}]),
	);

	readonly unreachable = new Set<string>();
	/** Times of the newest heartbeat of each leader. */
	readonly heartbeats = new Map<string, HeartbeatTimes>();
	readonly answers: PoolAnswer[] = [];
	readonly receiver: JobReceiver;
	/** The messages that were sent on an open stream. */
	#sent: Array<{readonly to: string; readonly message: ReceiverMessage}> = [];

	constructor(change: Partial<ZoneView> = {}) {
		const view: ZoneView = {
			ownZone: 'a',
			zoneCount: 3,
			scope: 'zone',
			desiredState,
			evacuatedZones: new Set(),
			findRooms: () => [],
			ownWaits: undefined,
			requestConnection: () => undefined,
			...change,
		};
		this.receiver = new JobReceiver({
			name: 'entry-1',
			zone: 'a',
			readZoneView: () => view,
			findOwnLeader: () => this.leaders.get('a')?.name,
			findLeader: (zone) => this.leaders.get(zone),
			placesByZone: () => true,
			isOpen: (name) => !this.unreachable.has(name),
			findHeartbeatTimes: (leader) => this.heartbeats.get(leader),
			firstEpoch: 1,
			useLeader: () => undefined,
			send: (to, message) => {
				const isSent = !this.unreachable.has(to);
				this.#sent = isSent ? [...this.#sent, {to, message}] : this.#sent;
				return isSent;
			},
			writeLog: () => undefined,
		});
	}

	receive(id: string, now = startMs): void {
		this.receiver.receive(
			jobFixture(id),
			(answer) => {
				this.answers.push(answer);
			},
			now,
		);
	}

	/** Gives the own zone another leader, or none. */
	changeLeader(name: string | undefined, now: number): void {
		if (name === undefined) {
			this.leaders.delete('a');
		} else {
			this.leaders.set('a', {name, token: now});
		}

		this.receiver.handleOwnLeaderChange(now);
	}

	/** Returns the submissions since the last call. */
	takeSubmissions(): ReadonlyArray<
		{readonly to: string} & ReceiverMessage & {readonly type: 'submit'}
	> {
		return this.takeMessages().flatMap(({to, message}) =>
			message.type === 'submit' ? [{to, ...message}] : [],
		);
	}

	/** Returns whom the other messages since the last call were sent to, with their reasons. */
	takeCancellations(): readonly string[] {
		return this.takeMessages().flatMap(({to, message}) =>
			message.type === 'cancel' ? [`${to} ${message.reason}`] : [],
		);
	}

	/** Returns whom the messages about callers since the last call were sent to, with their types. */
	takeCallerMessages(): readonly string[] {
		return this.takeMessages().flatMap(({to, message}) =>
			message.type === 'caller-lost' || message.type === 'caller-returned'
				? [`${to} ${message.type}`]
				: [],
		);
	}

	/** Returns all messages since the last call. */
	takeMessages() {
		const sent = this.#sent;
		this.#sent = [];
		return sent;
	}
}

function addressees(
	submissions: ReadonlyArray<{readonly to: string}>,
): readonly string[] {
	return submissions.map(({to}) => to);
}

describe('JobReceiver', () => {
	// The job may be a copy of one that the own zone's leader runs, and the other leader starts it at once.
	it('gives a job that would wait long at home to no other leader before its own one has refused it', () => {
		const fixture = new ReceiverFixture(longWait);
		fixture.receive('j1');
		expect(addressees(fixture.takeSubmissions())).toEqual(['leader-a']);
		fixture.receiver.receiveAnswer('leader-a', 'j1', refusal, startMs + 1);
		expect(addressees(fixture.takeSubmissions())).toEqual(['leader-b']);
	});

	it('gives a job that its own leader lets go to a zone with room, and back as new if that refuses', () => {
		const fixture = new ReceiverFixture(longWait);
		fixture.receive('j1');
		const [first] = fixture.takeSubmissions();
		expect(first!.job.balancingWaitMs).toBe(72);
		fixture.receiver.receiveAnswer('leader-a', 'j1', letGo, startMs + 1);
		const [second] = fixture.takeSubmissions();
		expect([second!.to, second!.isResubmitted]).toEqual(['leader-b', false]);
		expect(second!.job.balancingWaitMs).toBeUndefined();
		fixture.receiver.receiveAnswer('leader-b', 'j1', refusal, startMs + 2);
		const [third] = fixture.takeSubmissions();
		expect([third!.to, third!.isResubmitted]).toEqual(['leader-a', false]);
		expect(third!.job.balancingWaitMs).toBeUndefined();
		const attempts = [first, second, third].map(
			(submission) => submission!.job.attempt,
		);
		expect(new Set(attempts).size).toBe(3);
	});

	// Runs of the job may be at work on workers that the own zone's leader has no reports of yet.
	it('gives a job to no other leader after a refusal that leaves open whether the job runs', () => {
		const fixture = new ReceiverFixture(longWait);
		fixture.receive('j1');
		fixture.takeSubmissions();
		const answer: PoolAnswer = {...refusal, isUnsettled: true};
		fixture.receiver.receiveAnswer('leader-a', 'j1', answer, startMs + 1);
		expect(fixture.takeSubmissions()).toEqual([]);
		expect(fixture.answers).toEqual([answer]);
	});

	it('gives a job back to its own leader as new if no zone has room any more', () => {
		const rooms = {list: longWait.findRooms!()};
		const fixture = new ReceiverFixture({
			...longWait,
			findRooms: () => rooms.list,
		});
		fixture.receive('j1');
		rooms.list = [];
		fixture.takeSubmissions();
		fixture.receiver.receiveAnswer('leader-a', 'j1', letGo, startMs + 1);
		const [second] = fixture.takeSubmissions();
		expect([second!.to, second!.isResubmitted]).toEqual(['leader-a', false]);
		expect(second!.job.balancingWaitMs).toBeUndefined();
		expect(fixture.answers).toEqual([]);
	});

	it('gives a job of an evacuated zone to no other leader before its own one has refused it', () => {
		const fixture = new ReceiverFixture({
			...longWait,
			evacuatedZones: new Set(['a']),
		});
		fixture.receive('j1');
		expect(addressees(fixture.takeSubmissions())).toEqual(['leader-a']);
		fixture.receiver.receiveAnswer(
			'leader-a',
			'j1',
			{kind: 'not-run', reason: 'no-workers'},
			startMs + 1,
		);
		expect(addressees(fixture.takeSubmissions())).toEqual(['leader-b']);
	});

	it('gives a job of an evacuated zone without a leader to no other one', () => {
		const fixture = new ReceiverFixture({
			...longWait,
			evacuatedZones: new Set(['a']),
		});
		fixture.leaders.delete('a');
		fixture.receive('j1');
		fixture.receiver.updateOtherLeaders(startMs + 20);
		expect(fixture.takeSubmissions()).toEqual([]);
		fixture.leaders.set('a', {name: 'leader-a', token: 2});
		fixture.receiver.handleOwnLeaderChange(startMs + 40);
		expect(addressees(fixture.takeSubmissions())).toEqual(['leader-a']);
	});
});

describe('a receiver that gives a job up', () => {
	// The leaders would start the job, or go on, after its caller was told that it has no result.
	it.each([
		['no next leader is known in time', 1000, 'leader-lost'],
		['no answer comes in time', 3000, 'deadline-exceeded'],
	])('tells each leader that may have it when %s', (_case, afterMs, reason) => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('leader-a2', startMs + 10);
		if (reason === 'leader-lost') {
			fixture.changeLeader(undefined, startMs + 20);
		}

		fixture.takeCancellations();
		fixture.receiver.answerExpiredJobs(startMs + afterMs);
		expect(fixture.answers).toEqual([{kind: 'may-have-run', reason}]);
		expect(fixture.takeCancellations()).toEqual([
			'leader-a caller-left',
			'leader-a2 caller-left',
		]);
	});

	it('tells the other leaders that may have it when a refusal is not certain', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('leader-a2', startMs + 10);
		fixture.changeLeader('leader-a', startMs + 20);
		fixture.takeCancellations();
		fixture.receiver.receiveAnswer('leader-a', 'j1', refusal, startMs + 30);
		expect(fixture.answers).toEqual([
			{kind: 'may-have-run', reason: 'leader-lost'},
		]);
		expect(fixture.takeCancellations()).toEqual(['leader-a2 caller-left']);
	});

	it.each([
		[
			'it stops',
			(receiver: JobReceiver) => {
				receiver.answerRemainingJobs(startMs + 20);
			},
		],
		[
			'the caller leaves',
			(receiver: JobReceiver) => {
				receiver.handleCallerDisconnect('j1', false, startMs + 20);
			},
		],
	])('tells each leader that may have it when %s', (_case, giveUp) => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('leader-a2', startMs + 10);
		fixture.takeCancellations();
		giveUp(fixture.receiver);
		expect(fixture.takeCancellations()).toEqual([
			'leader-a caller-left',
			'leader-a2 caller-left',
		]);
	});
});

describe('a message about a job that was given up', () => {
	// A former leader that does not get it goes on with the job beside the next one.
	it('is sent once the stream to the leader opens, if there was none', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.unreachable.add('leader-a');
		fixture.changeLeader('leader-a2', startMs + 10);
		expect(fixture.takeCancellations()).toEqual([]);
		fixture.unreachable.delete('leader-a');
		fixture.receiver.handleOpen('leader-a', startMs + 300);
		expect(fixture.takeCancellations()).toEqual(['leader-a moved']);
	});

	it('is sent again when a stream opens anew, as it may be lost with the one before', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.receiver.handleCallerDisconnect('j1', false, startMs + 10);
		expect(fixture.takeCancellations()).toEqual(['leader-a caller-left']);
		fixture.receiver.handleOpen('leader-b', startMs + 300);
		expect(fixture.takeCancellations()).toEqual([]);
		fixture.receiver.handleOpen('leader-a', startMs + 300);
		expect(fixture.takeCancellations()).toEqual(['leader-a caller-left']);
	});

	it('is not sent after the leader has got the job again, or when no run of it can be left', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('leader-a2', startMs + 10);
		fixture.changeLeader('leader-a', startMs + 20);
		fixture.takeCancellations();
		fixture.receiver.handleOpen('leader-a', startMs + 300);
		expect(fixture.takeCancellations()).toEqual([]);
		fixture.receiver.handleOpen('leader-a2', startMs + 300);
		expect(fixture.takeCancellations()).toEqual(['leader-a2 moved']);
		fixture.receiver.answerExpiredJobs(startMs + 60_000);
		fixture.takeCancellations();
		fixture.receiver.handleOpen('leader-a2', startMs + 120_000);
		expect(fixture.takeCancellations()).toEqual([]);
	});
});

describe('a receiver whose caller has lost its connection', () => {
	// The caller sends the job again after 1.3 s, maybe to an entry VM of another zone.
	it('tells the leader that has the job, again with each submission to it', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		expect(fixture.takeCallerMessages()).toEqual([]);
		fixture.receiver.handleCallerDisconnect('j1', true, startMs + 10);
		expect(fixture.takeCallerMessages()).toEqual(['leader-a caller-lost']);
		fixture.receiver.handleOpen('leader-a', startMs + 20);
		expect(fixture.takeCallerMessages()).toEqual(['leader-a caller-lost']);
	});

	it('submits the job to no other leader, and has the former one give it up', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.receiver.handleCallerDisconnect('j1', true, startMs + 10);
		fixture.takeSubmissions();
		fixture.changeLeader('leader-a2', startMs + 20);
		expect(fixture.takeCancellations()).toEqual(['leader-a caller-left']);
		fixture.receiver.handleOpen('leader-a2', startMs + 30);
		expect(fixture.takeSubmissions()).toEqual([]);
		expect(fixture.receiver.size).toBe(0);
	});

	it('tells all leaders that may have the job', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('leader-a2', startMs + 10);
		fixture.receiver.handleCallerDisconnect('j1', true, startMs + 20);
		expect(fixture.takeCallerMessages()).toEqual([
			'leader-a caller-lost',
			'leader-a2 caller-lost',
		]);
	});

	it('tells the leader when the caller is back', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.receiver.handleCallerDisconnect('j1', true, startMs + 10);
		fixture.takeCallerMessages();
		fixture.receive('j1', startMs + 1310);
		expect(fixture.takeCallerMessages()).toEqual(['leader-a caller-returned']);
		fixture.receive('j1', startMs + 1320);
		fixture.receiver.handleOpen('leader-a', startMs + 1330);
		expect(fixture.takeCallerMessages()).toEqual([]);
	});
});

describe('the zones of a submission', () => {
	type Step = 'change-leader' | 'refuse' | 'let-go' | 'open' | 'lose-leader';

	// A leader that may place a job in the zone of another one that has it starts it beside the runs there.
	it('are that of its leader alone, and change only after the leaders before have refused the job', () => {
		fc.assert(
			fc.property(
				fc.array(
					fc.constantFrom<Step>(
						'change-leader',
						'refuse',
						'let-go',
						'open',
						'lose-leader',
					),
					{maxLength: 12},
				),
				(steps) => {
					const fixture = new ReceiverFixture(longWait);
					fixture.receive('j1');
					let last = fixture.takeSubmissions().at(-1)!;
					let submissionCount = 1;
					for (const [index, step] of steps.entries()) {
						const now = startMs + 10 * (index + 1);
						const zone = last.job.zones![0]!;
						switch (step) {
							case 'change-leader': {
								fixture.leaders.set(zone, {name: `${zone}-${now}`, token: now});
								break;
							}

							case 'lose-leader': {
								fixture.leaders.delete(zone);
								break;
							}

							case 'open': {
								fixture.receiver.handleOpen(last.to, now);
								break;
							}

							case 'refuse':
							case 'let-go': {
								const answer = step === 'refuse' ? refusal : letGo;
								fixture.receiver.receiveAnswer(last.to, 'j1', answer, now);
								break;
							}
						}

						fixture.receiver.handleOwnLeaderChange(now + 1);
						fixture.receiver.updateOtherLeaders(now + 1);
						for (const submission of fixture.takeSubmissions()) {
							expect(submission.job.zones).toHaveLength(1);
							const isMoved = submission.job.zones![0] !== zone;
							const wasRefused = step === 'refuse' || step === 'let-go';
							expect(isMoved && !wasRefused).toBe(false);
							expect(isMoved && submissionCount > 1).toBe(false);
							submissionCount =
								submission.job.attempt === last.job.attempt
									? submissionCount + 1
									: 1;
							last = submission;
						}
					}
				},
			),
			{seed: 40, numRuns: 500},
		);
	});
});

describe('the grant of a receiver', () => {
	it('confirms the newest heartbeat of the leader, in heartbeats and with each submission', () => {
		const fixture = new ReceiverFixture();
		fixture.heartbeats.set('leader-a', {sentAtMs: 50, receivedAtMs: 900});
		fixture.receive('j1');
		expect(fixture.takeSubmissions()[0]!.job.grant).toEqual({
			epoch: 1,
			heartbeatSentAtMs: 50,
		});
		fixture.heartbeats.set('leader-a', {sentAtMs: 150, receivedAtMs: 1000});
		expect(fixture.receiver.listGrants()).toEqual({
			'leader-a': {epoch: 1, heartbeatSentAtMs: 150},
		});
	});

	it('is not given to a leader whose heartbeats do not tell when they were sent', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		expect(fixture.takeSubmissions()[0]!.job.grant).toBeUndefined();
		expect(fixture.receiver.listGrants()).toEqual({});
	});

	it('of the former leader ends when a job is moved, and the next leader is told its age', () => {
		const fixture = new ReceiverFixture();
		fixture.heartbeats.set('leader-a', {sentAtMs: 50, receivedAtMs: 900});
		fixture.receive('j1');
		fixture.takeSubmissions();
		fixture.changeLeader('next-a', startMs + 400);
		const [submission] = fixture.takeSubmissions();
		expect(submission!.job.earlierGrantAgeMs).toBe(500);
		fixture.changeLeader('leader-a', startMs + 500);
		// Its record of the job may be older than the runs of the other leader.
		expect(fixture.takeSubmissions()[0]!.job.grant!.epoch).toBe(2);
	});

	it('is as old as the move for a leader whose heartbeats do not tell when they were sent', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.takeSubmissions();
		fixture.changeLeader('next-a', startMs + 400);
		expect(fixture.takeSubmissions()[0]!.job.earlierGrantAgeMs).toBe(0);
	});

	it('is not given for a job that overflows to the leader of another zone', () => {
		const fixture = new ReceiverFixture(longWait);
		fixture.heartbeats.set('leader-b', {sentAtMs: 50, receivedAtMs: 900});
		fixture.receive('overflowed');
		fixture.receiver.receiveAnswer('leader-a', 'overflowed', refusal, startMs);
		expect(
			fixture.takeSubmissions().map(({to, job}) => `${to} ${job.grant?.epoch}`),
		).toEqual(['leader-a undefined', 'leader-b undefined']);
		expect(fixture.receiver.listGrants()).toEqual({});
	});
});

describe('a job that a receiver gives up', () => {
	/** Returns the jobs that were told to a leader, as `id leader age`. */
	function takeLeft(fixture: ReceiverFixture): readonly string[] {
		return fixture
			.takeMessages()
			.flatMap(({to, message}) =>
				message.type === 'left-jobs'
					? message.jobs.map(
							({id, earlierGrantAgeMs}) => `${id} ${to} ${earlierGrantAgeMs}`,
						)
					: [],
			);
	}

	it('without its caller is told to the next leader, with the age of the grant to the former one', () => {
		const fixture = new ReceiverFixture();
		fixture.heartbeats.set('leader-a', {sentAtMs: 50, receivedAtMs: 900});
		fixture.receive('j1');
		fixture.receiver.handleCallerDisconnect('j1', true, startMs + 100);
		fixture.changeLeader(undefined, startMs + 300);
		expect(takeLeft(fixture)).toEqual([]);
		fixture.changeLeader('next-a', startMs + 400);
		expect(takeLeft(fixture)).toEqual(['j1 next-a 500']);
	});

	it('since it had no leader for long is told to the next leader too', () => {
		const fixture = new ReceiverFixture();
		fixture.heartbeats.set('leader-a', {sentAtMs: 50, receivedAtMs: 900});
		fixture.receive('j1');
		fixture.changeLeader(undefined, startMs + 100);
		fixture.receiver.answerExpiredJobs(startMs + 1100);
		expect(fixture.answers).toEqual([
			{kind: 'may-have-run', reason: 'leader-lost'},
		]);
		fixture.changeLeader('next-a', startMs + 1200);
		expect(takeLeft(fixture)).toEqual(['j1 next-a 1300']);
	});

	it('is told to nobody when the leader itself has answered it, or has never had it', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('answered');
		fixture.receiver.receiveAnswer(
			'leader-a',
			'answered',
			{kind: 'completed'},
			startMs + 10,
		);
		fixture.unreachable.add('leader-a');
		fixture.receive('unsent', startMs + 20);
		fixture.receiver.handleCallerDisconnect('unsent', false, startMs + 30);
		fixture.changeLeader('next-a', startMs + 400);
		expect(takeLeft(fixture)).toEqual([]);
	});
});

describe('a job that its caller cancels', () => {
	it('without a reply of its leader is answered as cancelled, and cancelled at the leaders that may have it', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.changeLeader('next-a', startMs + 100);
		fixture.takeMessages();
		expect(fixture.receiver.cancel('j1', startMs + 200)).toBe(true);
		expect(fixture.answers).toEqual([{kind: 'cancelled'}]);
		expect(fixture.takeCancellations()).toEqual([
			'leader-a cancelled',
			'next-a cancelled',
		]);
	});

	it('is cancelled again when a stream to a leader opens, as the message may be lost', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.receiver.cancel('j1', startMs + 100);
		fixture.takeMessages();
		fixture.receiver.handleOpen('leader-a', startMs + 500);
		expect(fixture.takeCancellations()).toEqual(['leader-a cancelled']);
	});

	it('is not known to a receiver that has answered it', () => {
		const fixture = new ReceiverFixture();
		fixture.receive('j1');
		fixture.receiver.receiveAnswer(
			'leader-a',
			'j1',
			{kind: 'completed'},
			startMs + 50,
		);
		expect(fixture.receiver.cancel('j1', startMs + 100)).toBe(false);
	});
});
