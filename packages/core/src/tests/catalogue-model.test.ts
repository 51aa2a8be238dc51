import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	Catalogue,
	CatalogueReplay,
	type CatalogueUpdate,
	type Edit,
} from '../index.js';
import {editOf, entryOf, snapshotOf} from './catalogue-fixtures.js';

const seed = 20_260_801;
const readers = 4;
const tailRecords = 6;
const names = ['a', 'b'] as const;
const readerArbitrary = fc.nat(readers - 1);

/** One step of a run; `item` 0 deletes. */
const stepArbitrary = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			do: fc.constant('edit' as const),
			reader: readerArbitrary,
			name: fc.constantFrom(...names),
			item: fc.nat(4),
			/** How often the record lands in the log: lost, once, or with a copy for a lost answer. */
			copies: fc.nat(2),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({do: fc.constant('repeat' as const), edit: fc.nat(8)}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			do: fc.constant('withdraw' as const),
			edit: fc.nat(8),
		}),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			do: fc.constant('read' as const),
			reader: readerArbitrary,
			limit: fc.integer({min: 1, max: 5}),
			/** A fresh reader begins near the log's end, and one that found no snapshot there begins again. */
			isNearEnd: fc.boolean(),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			do: fc.constant('snapshot' as const),
			reader: readerArbitrary,
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			do: fc.constant('drop' as const),
			count: fc.integer({min: 1, max: 4}),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			do: fc.constant('ask' as const),
			from: readerArbitrary,
			to: readerArbitrary,
			/** Whether the sender's tail is too short, so that it sends everything. */
			isWhole: fc.boolean(),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			do: fc.constant('deliver' as const),
			/** Which of the updates under way arrives; each may arrive late and more than once. */
			update: fc.nat(6),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			do: fc.constant('restart' as const),
			reader: readerArbitrary,
		}),
	},
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** A log with retention, its readers, and the plain rules to compare them with. */
class Model {
	readonly log: unknown[] = [];
	oldestOffset = 0;
	replays = Array.from({length: readers}, () => new CatalogueReplay());
	readonly #underWay: Array<{
		readonly to: number;
		readonly update: CatalogueUpdate;
	}> = [];

	readonly #edits: Array<ReturnType<typeof editOf>> = [];

	take(step: Step): void {
		switch (step.do) {
			case 'edit': {
				const {catalogue} = this.replays[step.reader]!;
				const edit = editOf(`edit-${this.#edits.length}`, {
					name: step.name,
					basedOn: catalogue.revisionOf({kind: 'entry', name: step.name}),
					item:
						step.item === 0
							? null
							: entryOf(step.name, {owner: `owner-${step.item}`}),
				});
				this.#edits.push(edit);
				this.log.push(...Array.from({length: step.copies}, () => edit));
				break;
			}

			case 'repeat': {
				this.log.push(...this.#edits.slice(step.edit).slice(0, 1));
				break;
			}

			case 'withdraw': {
				this.log.push({type: 'withdrawal', editId: `edit-${step.edit}`});
				break;
			}

			case 'read': {
				const known = this.replays[step.reader]!;
				const replay =
					known.hasSkipped && !step.isNearEnd ? known.withoutGap() : known;
				const from =
					step.isNearEnd && replay.readFrom === 0
						? Math.max(0, this.log.length - tailRecords)
						: replay.readFrom;
				this.#change(
					step.reader,
					replay.read(this.#page(from, step.limit), from),
				);
				break;
			}

			case 'snapshot': {
				this.log.push(snapshotOf(this.replays[step.reader]!.catalogue));
				break;
			}

			case 'drop': {
				this.oldestOffset = Math.min(
					this.oldestOffset + step.count,
					this.log.length,
				);
				break;
			}

			case 'ask': {
				const {nextOffset} = this.replays[step.to]!.catalogue;
				const sender = this.replays[step.from]!;
				const update = step.isWhole
					? {records: [], snapshot: sender.catalogue.toSnapshot()}
					: sender.updateFor(nextOffset);
				this.#underWay.push({to: step.to, update});
				break;
			}

			case 'deliver': {
				const arriving = this.#underWay[step.update];
				if (arriving !== undefined) {
					const {to, update} = arriving;
					this.#change(to, this.replays[to]!.learn(update));
				}

				break;
			}

			case 'restart': {
				this.replays[step.reader] = new CatalogueReplay();
				break;
			}
		}
	}

	#change(reader: number, next: CatalogueReplay): void {
		const before = this.replays[reader]!.catalogue;
		expect(next.catalogue.nextOffset).toBeGreaterThanOrEqual(before.nextOffset);
		this.replays[reader] = next;
		expect(next.catalogue.toSnapshot()).toEqual(
			this.#expected(next.catalogue.nextOffset).toSnapshot(),
		);
		expect(itemsOf(next.catalogue)).toEqual(
			plainItems(this.log.slice(0, next.catalogue.nextOffset)),
		);
	}

	#expected(upTo: number): Catalogue {
		return new Catalogue().applyAll(
			this.log.slice(0, upTo).map((record, offset) => ({offset, record})),
		);
	}

	#page(askedFrom: number, limit: number) {
		const from = Math.max(askedFrom, this.oldestOffset);
		return {
			records: this.log
				.map((record, offset) => ({offset, record}))
				.slice(from, from + limit),
			oldestOffset: this.oldestOffset,
			endOffset: this.log.length,
		};
	}
}

function itemsOf(catalogue: Catalogue): Record<string, unknown> {
	return Object.fromEntries(
		catalogue.items.map(({item, revision}) => [
			item.name,
			{owner: item.kind === 'entry' ? item.owner : '', revision},
		]),
	);
}

/** The rules in a few lines: the first record about an edit decides, by the item's revision at that place. */
function plainItems(records: readonly unknown[]): Record<string, unknown> {
	const decided = new Set<string>();
	const revisions = new Map<string, number>();
	const items = new Map<string, Edit['item']>();
	for (const [offset, record] of records.entries()) {
		const {type, editId, name, basedOn, item} = record as ReturnType<
			typeof editOf
		>;
		if (editId === undefined || decided.has(editId)) {
			continue;
		}

		decided.add(editId);
		if (type === 'edit' && basedOn === (revisions.get(name) ?? 0)) {
			revisions.set(name, offset + 1);
			items.set(name, item);
		}
	}

	return Object.fromEntries(
		[...items].flatMap(([name, item]) =>
			item?.kind === 'entry'
				? [[name, {owner: item.owner, revision: revisions.get(name)}]]
				: [],
		),
	);
}

describe('the catalogue under races, lost answers, retention, snapshots and relays', () => {
	it('is the same for all readers with the same offset, and never moves back', () => {
		fc.assert(
			fc.property(
				fc.array(stepArbitrary, {minLength: 20, maxLength: 80, size: 'max'}),
				(steps) => {
					const model = new Model();
					for (const step of steps) {
						model.take(step);
					}

					// With one snapshot by whoever knows everything, each reader comes to the log's end.
					const {log} = model;
					const whole = new CatalogueReplay().read(
						{
							records: log.map((record, offset) => ({offset, record})),
							oldestOffset: 0,
							endOffset: log.length,
						},
						0,
					);
					log.push(snapshotOf(whole.catalogue));
					for (const reader of model.replays.keys()) {
						model.take({do: 'read', reader, limit: 1000, isNearEnd: false});
						expect(model.replays[reader]!.isAtEnd).toBe(true);
					}
				},
			),
			{seed, numRuns: 1500},
		);
	});
});
