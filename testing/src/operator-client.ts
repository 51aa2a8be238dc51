/** An operator of an installation, for tests and measurements. */
import {type CatalogueItem, type OffsetRecord} from '@verbenarouter/core';
import {
	type CatalogueStatus,
	type EditVerdict,
	type EntryVmState,
} from '@verbenarouter/operator';
import {tokenOf} from './catalogue-fixtures.js';
import {call, until, type HttpAnswer} from './http-call.js';
import {type Installation} from './installation.js';
import {type Part} from './processes.js';

/** An operator of one team. */
export class Operator {
	readonly #token: string;

	constructor(team: string) {
		this.#token = tokenOf(team);
	}

	/** Writes an item at an entry VM. */
	async put(
		{operatorAddress}: Part,
		item: CatalogueItem,
		basedOn: number,
	): Promise<HttpAnswer<EditVerdict>> {
		return call(
			'PUT',
			`${operatorAddress}/v1/catalogue/${item.kind}/${item.name}`,
			{item, basedOn},
			this.#token,
		);
	}

	/** The items that an entry VM has in force. */
	async items({operatorAddress}: Part): Promise<
		ReadonlyArray<{
			readonly revision: number;
			readonly item: CatalogueItem;
		}>
	> {
		const {body} = await call<{
			items: ReadonlyArray<{revision: number; item: CatalogueItem}>;
		}>('GET', `${operatorAddress}/v1/catalogue`, undefined, this.#token);
		return body.items.toSorted((a, b) => a.revision - b.revision);
	}

	/** How fresh an entry VM's catalogue is. */
	async status({operatorAddress}: Part): Promise<CatalogueStatus> {
		const {body} = await call<CatalogueStatus>(
			'GET',
			`${operatorAddress}/v1/catalogue/status`,
			undefined,
			this.#token,
		);
		return body;
	}

	/** Where a revision is in force, as one entry VM finds it. */
	async inForce(
		{operatorAddress}: Part,
		revision: number,
	): Promise<readonly EntryVmState[]> {
		const {body} = await call<{entryVms: readonly EntryVmState[]}>(
			'GET',
			`${operatorAddress}/v1/catalogue/in-force?revision=${revision}`,
			undefined,
			this.#token,
		);
		return body.entryVms;
	}

	/** Waits until each of these entry VMs says itself that a revision is in force. */
	async untilInForce(parts: readonly Part[], revision: number): Promise<void> {
		await Promise.all(
			parts.map(async (part) =>
				until(async () => {
					const {nextOffset} = await this.status(part);
					return nextOffset >= revision;
				}),
			),
		);
	}
}

/** The records that the platform's stand-in keeps of the catalogue's stream. */
export async function catalogueRecords({
	platform,
}: Installation): Promise<
	ReadonlyArray<OffsetRecord & {record: {type: string}}>
> {
	const {body} = await call<{
		records: ReadonlyArray<OffsetRecord & {record: {type: string}}>;
	}>('GET', `${platform.address}/logs/catalogue/records?from=0&limit=5000`);
	return body.records;
}

/** Lets the stand-in's retention drop the records before an offset. */
export async function dropRecordsBefore(
	{platform}: Installation,
	offset: number,
): Promise<void> {
	await call(
		'POST',
		`${platform.address}/control/logs/catalogue/drop-before/${offset}`,
	);
}
