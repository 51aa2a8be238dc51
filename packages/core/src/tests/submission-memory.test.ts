import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type HandOver} from '../hand-over.js';
import {type Incarnation} from '../identifier.js';
import {type JobAnswer} from '../job.js';
import {SubmissionMemory} from '../submission-memory.js';
import {type MemoryLimits} from '../submission-record.js';
import {refusal} from '../verdict.js';

const team = 'coastal';
const shape = {entry: 'plan', taskCount: 1};
const limits: MemoryLimits = {
	startWindowMs: 100,
	retentionMs: 20,
	clockSkewMs: 20,
	answerBytes: 1000,
};

function incarnationOf(entryVm: string, life = 0): Incarnation {
	return {zone: 'zone-a', entryVm, nonce: `life${life}`};
}

function memoryOf(
	entryVm: string,
	life = 0,
	change: Partial<MemoryLimits> = {},
): SubmissionMemory {
	return new SubmissionMemory(
		{
			issuer: incarnationOf(entryVm, life),
			secret: `secret-${entryVm}-${life}`,
		},
		{...limits, ...change},
	);
}

function completed(identifier: string, output = 'x'): JobAnswer {
	return {identifier, verdict: 'completed', outputs: [output]};
}

function notRun(identifier: string): JobAnswer {
	return {
		identifier,
		verdict: 'not-run',
		refusal: refusal('cancelled', 'The caller cancelled the job.'),
	};
}

function passOn(from: SubmissionMemory, to: SubmissionMemory, now: number) {
	from.startLeaving();
	const handOver = from.close(now);
	const reply = to.adopt(handOver, now);
	from.passOn(handOver);
	return {handOver, reply};
}

describe('SubmissionMemory', () => {
	it('lets the successor start what was reserved and not used, and answer what had settled', () => {
		const [first, second] = [memoryOf('first'), memoryOf('second')];
		const [unused, settled, running] = [0, 0, 0].map(() =>
			first.issue(team, 0),
		) as [string, string, string];
		first.admit(settled, team, shape, 1);
		first.settle(settled, team, completed(settled), 2);
		first.admit(running, team, shape, 3);
		expect(passOn(first, second, 4).reply).toBe('adopted');
		expect([
			second.admit(settled, team, shape, 5),
			second.admit(settled, team, {...shape, taskCount: 2}, 5).kind,
			second.admit(running, team, shape, 5),
			second.admit(unused, team, shape, 5),
			first.admit(unused, team, shape, 5),
			first.admit(running, team, shape, 5),
			first.holds,
		]).toEqual([
			{kind: 'answer', answer: completed(settled)},
			'refuse',
			{kind: 'elsewhere', at: incarnationOf('first')},
			{kind: 'start'},
			{kind: 'moved'},
			{kind: 'join'},
			[],
		]);
		first.settle(running, team, completed(running), 6);
		const batch = first.nextUnshared(10, 1000);
		second.adoptSettled(batch, 7);
		first.markShared(batch);
		expect([second.lookUp(running, team, 8), first.unsharedCount]).toEqual([
			{kind: 'answer', answer: completed(running)},
			0,
		]);
	});

	it('starts nothing between the sending of a hand-over and the proof that it was not received', () => {
		const memory = memoryOf('first');
		const identifier = memory.issue(team, 0);
		memory.startLeaving();
		memory.close(1);
		expect(memory.admit(identifier, team, shape, 2)).toEqual({kind: 'moved'});
		memory.reopen();
		expect(memory.admit(identifier, team, shape, 3)).toEqual({kind: 'start'});
	});

	it('declines a delayed copy of a hand-over that it has declined before', () => {
		const [first, second] = [memoryOf('first'), memoryOf('second')];
		first.startLeaving();
		const early = first.close(limits.clockSkewMs + 1);
		expect([
			second.adopt(early, 0),
			second.adopt(early, limits.clockSkewMs + 1),
		]).toEqual(['declined', 'declined']);
	});

	it('declines when it is about to leave, so that the sender may ask another one', () => {
		const [first, second] = [memoryOf('first'), memoryOf('second')];
		second.startLeaving();
		first.startLeaving();
		expect(second.adopt(first.close(0), 0)).toBe('declined');
	});

	it('hands on what still runs at an earlier owner', () => {
		const [first, second, third] = [
			memoryOf('first'),
			memoryOf('second'),
			memoryOf('third'),
		];
		const identifier = first.issue(team, 0);
		first.admit(identifier, team, shape, 0);
		passOn(first, second, 1);
		passOn(second, third, 2);
		expect(third.admit(identifier, team, shape, 3)).toEqual({
			kind: 'elsewhere',
			at: incarnationOf('first'),
		});
	});

	it('keeps the answer of an adopted hand-over for copies of it after it has handed over itself', () => {
		const [first, second, third] = [
			memoryOf('first'),
			memoryOf('second'),
			memoryOf('third'),
		];
		const identifier = first.issue(team, 0);
		const {handOver} = passOn(first, second, 1);
		passOn(second, third, 2);
		expect([
			second.adopt(handOver, 3),
			second.admit(identifier, team, shape, 3).kind,
			third.admit(identifier, team, shape, 3).kind,
		]).toEqual(['adopted', 'moved', 'start']);
	});

	it('does not forget what a later owner with a slower clock could start again', () => {
		const [first, second, third] = [
			memoryOf('first'),
			memoryOf('second'),
			memoryOf('third'),
		];
		const identifier = first.issue(team, 0);
		first.admit(identifier, team, shape, 0);
		first.settle(identifier, team, completed(identifier), 0);
		passOn(first, second, 0);
		second.forget(85);
		second.startLeaving();
		third.adopt(second.close(85), 75);
		expect(third.admit(identifier, team, shape, 75).kind).toBe('answer');
	});

	it('drops the oldest outputs beyond its bytes and keeps their verdicts', () => {
		const memory = memoryOf('first', 0, {answerBytes: 10});
		const identifiers = [1, 2, 3].map(() => memory.issue(team, 0));
		for (const identifier of identifiers) {
			memory.admit(identifier, team, shape, 0);
			memory.settle(identifier, team, completed(identifier), 0);
			memory.forget(0);
		}

		expect(
			identifiers.map((identifier) => {
				const known = memory.lookUp(identifier, team, 1);
				return known.kind === 'answer' && known.answer.refusal?.code;
			}),
		).toEqual(['answer-expired', undefined, undefined]);
		memory.forget(121);
		expect([
			memory.size,
			memory.lookUp(identifiers[0]!, team, 121).kind,
		]).toEqual([0, 'refuse']);
	});
});

/** Three entry VMs, a network that delays, loses and repeats, and an oracle of all starts and refusals. */
class World {
	readonly #vms = [0, 1, 2].map((index) => this.#vmOf(index, 0));
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
				this.#identifiers.push(vm.memory.issue(team, now));
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
					vm.memory.settle(running, team, completed(running), now);
				}

				break;
			}

			case 'leave': {
				this.#leave(vm, this.#vms[other]!, now, isLost);
				break;
			}

			case 'deliver': {
				// Every other time the newest message, so that chains of successors come about.
				this.#deliver(
					this.#messages.at(pick % 2 === 0 ? -1 : pick % this.#messages.length),
					isLost,
				);
				break;
			}

			case 'records': {
				const batch = vm.memory.nextUnshared(2, 1000);
				vm.current?.to.memory.adoptSettled(batch, now);
				if (vm.current !== undefined && !isLost) {
					vm.memory.markShared(batch);
				}

				break;
			}

			case 'crash': {
				this.#vms[index] = this.#vmOf(index, vm.life + 1);
				break;
			}

			case 'wait': {
				this.#now += pick % 30;
				for (const {memory, clockOffsetMs} of this.#vms) {
					memory.forget(this.#now + clockOffsetMs);
				}

				break;
			}
		}
	}

	#vmOf(index: number, life: number): EntryVmModel {
		return {
			memory: memoryOf(`entry-${index}`, life),
			life,
			clockOffsetMs: ((index + life) % 3) * 10 - 10,
			running: new Set(),
			current: undefined,
		};
	}

	#submit(vm: EntryVmModel, identifier: string | undefined, now: number) {
		if (identifier === undefined) {
			return;
		}

		const admission = vm.memory.admit(identifier, team, shape, now);
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
			vm.memory.lookUp(identifier, team, now).kind === 'start'
		) {
			expect(this.#started.has(identifier)).toBe(false);
			this.#refused.add(identifier);
			vm.memory.settle(identifier, team, notRun(identifier), now);
		}
	}

	#leave(vm: EntryVmModel, to: EntryVmModel, now: number, isNotSent: boolean) {
		if (vm === to || vm.current !== undefined) {
			return;
		}

		vm.memory.startLeaving();
		const handOver = vm.memory.close(now);
		if (isNotSent) {
			vm.memory.reopen();
		} else {
			vm.current = {from: vm, to, handOver};
			this.#messages.push(vm.current);
		}
	}

	/** A message stays, so that it may arrive again at any later time. */
	#deliver(message: Message | undefined, isReplyLost: boolean) {
		if (message === undefined) {
			return;
		}

		const {from, to, handOver} = message;
		const reply = to.memory.adopt(handOver, this.#now + to.clockOffsetMs);
		if (isReplyLost || from.current !== message) {
			return;
		}

		if (reply === 'adopted') {
			from.memory.passOn(handOver);
		} else {
			from.memory.reopen();
			from.current = undefined;
		}
	}
}

type EntryVmModel = {
	readonly memory: SubmissionMemory;
	readonly life: number;
	readonly clockOffsetMs: number;
	readonly running: Set<string>;
	/** The hand-over that may have been adopted. */
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
	it('never start an identifier twice, and never refuse as "not run" what has started or will start', () => {
		fc.assert(
			fc.property(
				fc.array(actionArbitrary, {minLength: 20, maxLength: 120}),
				(actions) => {
					const world = new World();
					for (const action of actions) {
						world.run(action);
					}
				},
			),
			{seed: 20_260_714, numRuns: 10_000},
		);
	});
});
