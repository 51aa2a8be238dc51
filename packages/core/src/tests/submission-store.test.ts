import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type HandOver} from '../hand-over.js';
import {type Incarnation} from '../identifier.js';
import {type JobAnswer} from '../job.js';
import {SubmissionStore} from '../submission-store.js';
import {type SubmissionStoreLimits} from '../submission-record.js';
import {createRefusal} from '../verdict.js';

const team = 'coastal';
const shape = {entry: 'plan', taskCount: 1};
const limits: SubmissionStoreLimits = {
	startWindowMs: 100,
	retentionMs: 20,
	clockSkewMs: 20,
	answerBytes: 1000,
};

function createIncarnation(entryVm: string, restartCount = 0): Incarnation {
	return {zone: 'zone-a', entryVm, nonce: `life${restartCount}`};
}

function createStore(
	entryVm: string,
	restartCount = 0,
	change: Partial<SubmissionStoreLimits> = {},
): SubmissionStore {
	return new SubmissionStore(
		{
			issuer: createIncarnation(entryVm, restartCount),
			secret: `secret-${entryVm}-${restartCount}`,
		},
		{...limits, ...change},
	);
}

function createCompletedAnswer(identifier: string, output = 'x'): JobAnswer {
	return {identifier, verdict: 'completed', outputs: [output]};
}

function createNotRunAnswer(identifier: string): JobAnswer {
	return {
		identifier,
		verdict: 'not-run',
		refusal: createRefusal('cancelled', 'The caller cancelled the job.'),
	};
}

function handOverTo(from: SubmissionStore, to: SubmissionStore, now: number) {
	from.startLeaving();
	const handOver = from.beginHandOver(now);
	const reply = to.adoptHandOver(handOver, now);
	from.completeHandOver(handOver);
	return {handOver, reply};
}

describe('SubmissionStore', () => {
	it('lets the successor start unused identifiers and answer settled submissions', () => {
		const [first, second] = [createStore('first'), createStore('second')];
		const [unused, settled, running] = [0, 0, 0].map(() =>
			first.issueIdentifier(team, 0),
		) as [string, string, string];
		first.admit(settled, team, shape, 1);
		first.settle(settled, team, createCompletedAnswer(settled), 2);
		first.admit(running, team, shape, 3);
		expect(handOverTo(first, second, 4).reply).toBe('adopted');
		expect([
			second.admit(settled, team, shape, 5),
			second.admit(settled, team, {...shape, taskCount: 2}, 5).kind,
			second.admit(running, team, shape, 5),
			second.admit(unused, team, shape, 5),
			first.admit(unused, team, shape, 5),
			first.admit(running, team, shape, 5),
			first.ownedKeys,
		]).toEqual([
			{kind: 'answer', answer: createCompletedAnswer(settled)},
			'refuse',
			{kind: 'elsewhere', at: createIncarnation('first')},
			{kind: 'start'},
			{kind: 'moved'},
			{kind: 'join'},
			[],
		]);
		first.settle(running, team, createCompletedAnswer(running), 6);
		const batch = first.nextUnreplicated(10, 1000);
		second.adoptSettled(batch, 7);
		first.markReplicated(batch);
		expect([
			second.previewAdmission(running, team, 8),
			first.unreplicatedCount,
		]).toEqual([{kind: 'answer', answer: createCompletedAnswer(running)}, 0]);
	});

	it('starts no submission between the send of a hand-over and its abort', () => {
		const store = createStore('first');
		const identifier = store.issueIdentifier(team, 0);
		store.startLeaving();
		store.beginHandOver(1);
		expect(store.admit(identifier, team, shape, 2)).toEqual({kind: 'moved'});
		store.abortHandOver();
		expect(store.admit(identifier, team, shape, 3)).toEqual({kind: 'start'});
	});

	it('declines a delayed copy of a declined hand-over', () => {
		const [first, second] = [createStore('first'), createStore('second')];
		first.startLeaving();
		const early = first.beginHandOver(limits.clockSkewMs + 1);
		expect([
			second.adoptHandOver(early, 0),
			second.adoptHandOver(early, limits.clockSkewMs + 1),
		]).toEqual(['declined', 'declined']);
	});

	it('declines a hand-over while leaving, so that the sender can choose another successor', () => {
		const [first, second] = [createStore('first'), createStore('second')];
		second.startLeaving();
		first.startLeaving();
		expect(second.adoptHandOver(first.beginHandOver(0), 0)).toBe('declined');
	});

	it('hands over submissions that still run on an earlier owner', () => {
		const [first, second, third] = [
			createStore('first'),
			createStore('second'),
			createStore('third'),
		];
		const identifier = first.issueIdentifier(team, 0);
		first.admit(identifier, team, shape, 0);
		handOverTo(first, second, 1);
		handOverTo(second, third, 2);
		expect(third.admit(identifier, team, shape, 3)).toEqual({
			kind: 'elsewhere',
			at: createIncarnation('first'),
		});
	});

	it('repeats the reply to an adopted hand-over after it has itself handed over', () => {
		const [first, second, third] = [
			createStore('first'),
			createStore('second'),
			createStore('third'),
		];
		const identifier = first.issueIdentifier(team, 0);
		const {handOver} = handOverTo(first, second, 1);
		handOverTo(second, third, 2);
		expect([
			second.adoptHandOver(handOver, 3),
			second.admit(identifier, team, shape, 3).kind,
			third.admit(identifier, team, shape, 3).kind,
		]).toEqual(['adopted', 'moved', 'start']);
	});

	it('retains a record that a later owner with a slower clock could otherwise start again', () => {
		const [first, second, third] = [
			createStore('first'),
			createStore('second'),
			createStore('third'),
		];
		const identifier = first.issueIdentifier(team, 0);
		first.admit(identifier, team, shape, 0);
		first.settle(identifier, team, createCompletedAnswer(identifier), 0);
		handOverTo(first, second, 0);
		second.evictExpired(85);
		second.startLeaving();
		third.adoptHandOver(second.beginHandOver(85), 75);
		expect(third.admit(identifier, team, shape, 75).kind).toBe('answer');
	});

	it('evicts the oldest outputs beyond the limit and keeps their verdicts', () => {
		const store = createStore('first', 0, {answerBytes: 10});
		const identifiers = [1, 2, 3].map(() => store.issueIdentifier(team, 0));
		for (const identifier of identifiers) {
			store.admit(identifier, team, shape, 0);
			store.settle(identifier, team, createCompletedAnswer(identifier), 0);
			store.evictExpired(0);
		}

		expect(
			identifiers.map((identifier) => {
				const known = store.previewAdmission(identifier, team, 1);
				return known.kind === 'answer' && known.answer.refusal?.code;
			}),
		).toEqual(['answer-expired', undefined, undefined]);
		store.evictExpired(121);
		expect([
			store.size,
			store.previewAdmission(identifiers[0]!, team, 121).kind,
		]).toEqual([0, 'refuse']);
	});
});

/**
 * A model of three entry VMs and a network that delays, loses and repeats messages.
 *
 * It records every start and every `not-run` refusal, and fails when an identifier starts twice, starts after such a
 * refusal or is refused after a start.
 */
class FleetModel {
	readonly #vms = [0, 1, 2].map((index) => this.#createVm(index, 0));
	readonly #messages: Message[] = [];
	readonly #identifiers: string[] = [];
	readonly #started = new Set<string>();
	readonly #refused = new Set<string>();
	#now = 1000;

	run({kind, vm: index, other, pick, isLost}: Action): void {
		const vm = this.#vms[index]!;
		const now = this.#now + vm.clockOffsetMs;
		const identifier = this.#identifiers[pick % this.#identifiers.length];
		switch (kind) {
			case 'reserve': {
				this.#identifiers.push(vm.store.issueIdentifier(team, now));
				break;
			}

			case 'submit': {
				this.#submit(vm, identifier, now);
				break;
			}

			case 'decline': {
				this.#decline(vm, identifier, now);
				break;
			}

			case 'settle': {
				const [running] = vm.running;
				if (running !== undefined) {
					vm.running.delete(running);
					vm.store.settle(running, team, createCompletedAnswer(running), now);
				}

				break;
			}

			case 'leave': {
				this.#leave(vm, this.#vms[other]!, now, isLost);
				break;
			}

			case 'deliver': {
				// Half of the picks deliver the newest message, so that chains of successors occur.
				this.#deliver(
					this.#messages.at(pick % 2 === 0 ? -1 : pick % this.#messages.length),
					isLost,
				);
				break;
			}

			case 'records': {
				const batch = vm.store.nextUnreplicated(2, 1000);
				vm.current?.to.store.adoptSettled(batch, now);
				if (vm.current !== undefined && !isLost) {
					vm.store.markReplicated(batch);
				}

				break;
			}

			case 'crash': {
				this.#vms[index] = this.#createVm(index, vm.restartCount + 1);
				break;
			}

			case 'wait': {
				this.#now += pick % 30;
				for (const {store, clockOffsetMs} of this.#vms) {
					store.evictExpired(this.#now + clockOffsetMs);
				}

				break;
			}
		}
	}

	#createVm(index: number, restartCount: number): EntryVmModel {
		return {
			store: createStore(`entry-${index}`, restartCount),
			restartCount,
			clockOffsetMs: ((index + restartCount) % 3) * 10 - 10,
			running: new Set(),
			current: undefined,
		};
	}

	#submit(vm: EntryVmModel, identifier: string | undefined, now: number) {
		if (identifier === undefined) {
			return;
		}

		const admission = vm.store.admit(identifier, team, shape, now);
		if (admission.kind === 'start') {
			expect([
				this.#started.has(identifier),
				this.#refused.has(identifier),
			]).toEqual([false, false]);
			this.#started.add(identifier);
			vm.running.add(identifier);
		}

		if (admission.kind === 'answer' && admission.answer.verdict === 'not-run') {
			expect(this.#started.has(identifier)).toBe(false);
		}
	}

	#decline(vm: EntryVmModel, identifier: string | undefined, now: number) {
		if (
			identifier !== undefined &&
			vm.store.previewAdmission(identifier, team, now).kind === 'start'
		) {
			expect(this.#started.has(identifier)).toBe(false);
			this.#refused.add(identifier);
			vm.store.settle(identifier, team, createNotRunAnswer(identifier), now);
		}
	}

	#leave(vm: EntryVmModel, to: EntryVmModel, now: number, isNotSent: boolean) {
		if (vm === to || vm.current !== undefined) {
			return;
		}

		vm.store.startLeaving();
		const handOver = vm.store.beginHandOver(now);
		if (isNotSent) {
			vm.store.abortHandOver();
		} else {
			vm.current = {from: vm, to, handOver};
			this.#messages.push(vm.current);
		}
	}

	/** Delivers a message but keeps it, so that it can be delivered again at any later time. */
	#deliver(message: Message | undefined, isReplyLost: boolean) {
		if (message === undefined) {
			return;
		}

		const {from, to, handOver} = message;
		const reply = to.store.adoptHandOver(
			handOver,
			this.#now + to.clockOffsetMs,
		);
		if (isReplyLost || from.current !== message) {
			return;
		}

		if (reply === 'adopted') {
			from.store.completeHandOver(handOver);
		} else {
			from.store.abortHandOver();
			from.current = undefined;
		}
	}
}

type EntryVmModel = {
	readonly store: SubmissionStore;
	readonly restartCount: number;
	readonly clockOffsetMs: number;
	readonly running: Set<string>;
	/** The hand-over in progress or adopted; `undefined` if there is none. */
	current: Message | undefined;
};

type Message = {
	readonly from: EntryVmModel;
	readonly to: EntryVmModel;
	readonly handOver: HandOver;
};

const actionArbitrary = fc.record({
	kind: fc.constantFrom(
		'reserve',
		'submit',
		'submit',
		'submit',
		'decline',
		'settle',
		'leave',
		'deliver',
		'deliver',
		'records',
		'crash',
		'wait',
	),
	vm: fc.nat(2),
	other: fc.nat(2),
	pick: fc.nat(1000),
	isLost: fc.boolean(),
});

type Action =
	typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

describe('three entry VMs', () => {
	it('never start an identifier twice, and never answer not-run for one that has started or will start', () => {
		fc.assert(
			fc.property(
				fc.array(actionArbitrary, {minLength: 20, maxLength: 120}),
				(actions) => {
					const fleet = new FleetModel();
					for (const action of actions) {
						fleet.run(action);
					}
				},
			),
			{seed: 20_260_714, numRuns: 10_000},
		);
	});
});
