import {type CatalogueItem, type OffsetRecord} from '@verbenarouter/core';
import {
	type CatalogueStatus,
	type EditVerdict,
	type EntryVmState,
} from '@verbenarouter/operator';
import {tokenForTeam} from './catalogue-fixtures.js';
import {requestJson, waitUntil, type HttpResponse} from './http-call.js';
import {type Installation} from './installation.js';
import {type ProcessHandle} from './processes.js';

/** Client of the operator API that authenticates as one team. */
export class Operator {
	readonly #token: string;

	constructor(team: string) {
		this.#token = tokenForTeam(team);
	}

	/** Writes a catalogue item through an entry VM, based on the revision `basedOn`. */
	async putItem(
		{operatorAddress}: ProcessHandle,
		item: CatalogueItem,
		basedOn: number,
	): Promise<HttpResponse<EditVerdict>> {
		return requestJson(
			'PUT',
			`${operatorAddress}/v1/catalogue/${item.kind}/${item.name}`,
			{item, basedOn},
			this.#token,
		);
	}

	/** Fetches the catalogue items that are in force on an entry VM, in the order of their revisions. */
	async fetchItems({operatorAddress}: ProcessHandle): Promise<
		ReadonlyArray<{
			readonly revision: number;
			readonly item: CatalogueItem;
		}>
	> {
		const {body} = await requestJson<{
			items: ReadonlyArray<{revision: number; item: CatalogueItem}>;
		}>('GET', `${operatorAddress}/v1/catalogue`, undefined, this.#token);
		return body.items.toSorted((a, b) => a.revision - b.revision);
	}

	/** Fetches the status of an entry VM's catalogue: its offset, state and age. */
	async fetchStatus({
		operatorAddress,
	}: ProcessHandle): Promise<CatalogueStatus> {
		const {body} = await requestJson<CatalogueStatus>(
			'GET',
			`${operatorAddress}/v1/catalogue/status`,
			undefined,
			this.#token,
		);
		return body;
	}

	/** Fetches through one entry VM which entry VMs have a revision in force. */
	async fetchInForceStates(
		{operatorAddress}: ProcessHandle,
		revision: number,
	): Promise<readonly EntryVmState[]> {
		const {body} = await requestJson<{entryVms: readonly EntryVmState[]}>(
			'GET',
			`${operatorAddress}/v1/catalogue/in-force?revision=${revision}`,
			undefined,
			this.#token,
		);
		return body.entryVms;
	}

	/** Waits until each of the entry VMs reports in its own status that a revision is in force. */
	async waitUntilInForce(
		entryVms: readonly ProcessHandle[],
		revision: number,
	): Promise<void> {
		await Promise.all(
			entryVms.map(async (entryVm) =>
				waitUntil(async () => {
					const {nextOffset} = await this.fetchStatus(entryVm);
					return nextOffset >= revision;
				}),
			),
		);
	}
}

/** Fetches up to 5000 retained records of the catalogue's stream from the platform's stand-in. */
export async function fetchCatalogueRecords({
	platform,
}: Installation): Promise<
	ReadonlyArray<OffsetRecord & {record: {type: string}}>
> {
	const {body} = await requestJson<{
		records: ReadonlyArray<OffsetRecord & {record: {type: string}}>;
	}>('GET', `${platform.address}/logs/catalogue/records?from=0&limit=5000`);
	return body.records;
}

/** Drops the records of the catalogue's stream before an offset, as the log's retention does. */
export async function dropRecordsBefore(
	{platform}: Installation,
	offset: number,
): Promise<void> {
	await requestJson(
		'POST',
		`${platform.address}/control/logs/catalogue/drop-before/${offset}`,
	);
}
