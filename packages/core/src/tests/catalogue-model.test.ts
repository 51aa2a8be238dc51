import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	Catalogue,
	CatalogueReplay,
	type CatalogueUpdate,
	type Edit,
} from '../index.js';
import {
	editFixture,
	entryFixture,
	snapshotFixture,
} from './catalogue-fixtures.js';

const seed = 20_260_801;
const readerCount = 4;
const tailRecords = 6;
const names = ['a', 'b'] as const;
const readerArbitrary = fc.nat(readerCount - 1);

/** A step of the model test. */
const stepArbitrary = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			action: fc.constant('edit' as const),
			reader: readerArbitrary,
			name: fc.constantFrom(...names),
			/** Number of the owner that the edit sets; 0 deletes the item. */
			item: fc.nat(4),
			/** How often the record is appended: 0 if it was lost, 2 if it was retried because the first response was lost. */
			copies: fc.nat(2),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			action: fc.constant('repeat' as const),
			edit: fc.nat(8),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			action: fc.constant('withdraw' as const),
			edit: fc.nat(8),
		}),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			action: fc.constant('read' as const),
			reader: readerArbitrary,
			limit: fc.integer({min: 1, max: 5}),
			/** Whether a new reader starts near the log's end; if not, a reader goes back to the records that it skipped. */
			startsNearEnd: fc.boolean(),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			action: fc.constant('snapshot' as const),
			reader: readerArbitrary,
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			action: fc.constant('drop' as const),
			count: fc.integer({min: 1, max: 4}),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			action: fc.constant('request-update' as const),
			from: readerArbitrary,
			to: readerArbitrary,
			/** Whether the sender sends a snapshot of the whole catalogue, as if its tail were too short. */
			sendsSnapshot: fc.boolean(),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			action: fc.constant('deliver' as const),
			/** Index of the sent update that is delivered; updates can arrive late and more than once. */
			update: fc.nat(6),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			action: fc.constant('restart' as const),
			reader: readerArbitrary,
		}),
	},
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** A log with retention and its readers, which are compared with a reference implementation after each step. */
class CatalogueLogModel {
	readonly log: unknown[] = [];
	oldestOffset = 0;
	replays = Array.from({length: readerCount}, () => new CatalogueReplay());
	readonly #sentUpdates: Array<{
		readonly to: number;
		readonly update: CatalogueUpdate;
	}> = [];

	readonly #edits: Array<ReturnType<typeof editFixture>> = [];

	runStep(step: Step): void {
		switch (step.action) {
			case 'edit': {
				const {catalogue} = this.replays[step.reader]!;
				const edit = editFixture(`edit-${this.#edits.length}`, {
					name: step.name,
					basedOn: catalogue.currentRevision({kind: 'entry', name: step.name}),
					item:
						step.item === 0
							? null
							: entryFixture(step.name, {owner: `owner-${step.item}`}),
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
				const current = this.replays[step.reader]!;
				const replay =
					current.hasSkippedRecords && !step.startsNearEnd
						? current.withoutGap()
						: current;
				const from =
					step.startsNearEnd && replay.nextReadOffset === 0
						? Math.max(0, this.log.length - tailRecords)
						: replay.nextReadOffset;
				this.#replaceReplay(
					step.reader,
					replay.applyPage(this.#readPage(from, step.limit), from),
				);
				break;
			}

			case 'snapshot': {
				this.log.push(snapshotFixture(this.replays[step.reader]!.catalogue));
				break;
			}

			case 'drop': {
				this.oldestOffset = Math.min(
					this.oldestOffset + step.count,
					this.log.length,
				);
				break;
			}

			case 'request-update': {
				const {nextOffset} = this.replays[step.to]!.catalogue;
				const sender = this.replays[step.from]!;
				const update = step.sendsSnapshot
					? {records: [], snapshot: sender.catalogue.toSnapshot()}
					: sender.createPeerUpdate(nextOffset);
				this.#sentUpdates.push({to: step.to, update});
				break;
			}

			case 'deliver': {
				const sent = this.#sentUpdates[step.update];
				if (sent !== undefined) {
					const {to, update} = sent;
					this.#replaceReplay(to, this.replays[to]!.applyPeerUpdate(update));
				}

				break;
			}

			case 'restart': {
				this.replays[step.reader] = new CatalogueReplay();
				break;
			}
		}
	}

	#replaceReplay(reader: number, next: CatalogueReplay): void {
		const before = this.replays[reader]!.catalogue;
		expect(next.catalogue.nextOffset).toBeGreaterThanOrEqual(before.nextOffset);
		this.replays[reader] = next;
		expect(next.catalogue.toSnapshot()).toEqual(
			this.#replayPrefix(next.catalogue.nextOffset).toSnapshot(),
		);
		expect(summarizeItems(next.catalogue)).toEqual(
			replayReference(this.log.slice(0, next.catalogue.nextOffset)),
		);
	}

	#replayPrefix(upTo: number): Catalogue {
		return new Catalogue().applyAll(
			this.log.slice(0, upTo).map((record, offset) => ({offset, record})),
		);
	}

	#readPage(requestedOffset: number, limit: number) {
		const from = Math.max(requestedOffset, this.oldestOffset);
		return {
			records: this.log
				.map((record, offset) => ({offset, record}))
				.slice(from, from + limit),
			oldestOffset: this.oldestOffset,
			endOffset: this.log.length,
		};
	}
}

function summarizeItems(catalogue: Catalogue): Record<string, unknown> {
	return Object.fromEntries(
		catalogue.items.map(({item, revision}) => [
			item.name,
			{owner: item.kind === 'entry' ? item.owner : '', revision},
		]),
	);
}

/**
 * Reference implementation of the catalogue's rules: the first record with an edit's identifier decides its outcome, and an
 * edit is accepted if the item has the revision that the edit is based on.
 */
function replayReference(records: readonly unknown[]): Record<string, unknown> {
	const decided = new Set<string>();
	const revisions = new Map<string, number>();
	const items = new Map<string, Edit['item']>();
	for (const [offset, record] of records.entries()) {
		const {type, editId, name, basedOn, item} = record as ReturnType<
			typeof editFixture
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

describe('CatalogueReplay with concurrent edits, lost responses, log retention, snapshots and peer updates', () => {
	it('gives the same catalogue to all readers at the same offset, and never decreases its offset', () => {
		fc.assert(
			fc.property(
				fc.array(stepArbitrary, {minLength: 20, maxLength: 80, size: 'max'}),
				(steps) => {
					const model = new CatalogueLogModel();
					for (const step of steps) {
						model.runStep(step);
					}

					// A snapshot of the whole log must bring every reader to the log's end.
					const {log} = model;
					const whole = new CatalogueReplay().applyPage(
						{
							records: log.map((record, offset) => ({offset, record})),
							oldestOffset: 0,
							endOffset: log.length,
						},
						0,
					);
					log.push(snapshotFixture(whole.catalogue));
					for (const reader of model.replays.keys()) {
						model.runStep({
							action: 'read',
							reader,
							limit: 1000,
							startsNearEnd: false,
						});
						expect(model.replays[reader]!.isAtLogEnd).toBe(true);
					}
				},
			),
			{seed, numRuns: 1500},
		);
	});
});
