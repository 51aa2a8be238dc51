import {
	type Catalogue,
	type PastEdit,
	type RevisedItem,
} from '@verbenarouter/core';
import {type CatalogueStatus, type EditVerdict} from '@verbenarouter/operator';
import {request} from 'undici';
import {z} from 'zod';
import {getErrorMessage} from '../error-message.js';
import {type InForceAnswer} from './catalogue-format.js';

/** Longer than an entry VM takes to determine the verdict on an edit. */
const requestTimeoutMs = 30_000;

const problemSchema = z.object({
	code: z.string(),
	message: z.string().optional(),
	faults: z
		.array(z.object({path: z.string(), message: z.string()}))
		.readonly()
		.optional(),
	presentRevision: z.number().optional(),
	editId: z.string().optional(),
});

/** The body of a successful response, or the problem that the entry VM or the connection reports. */
export type OperatorAnswer<T> =
	| {readonly kind: 'answer'; readonly body: T}
	| {
			readonly kind: 'problem';
			readonly problem: Readonly<z.infer<typeof problemSchema>>;
	  };

type ItemKind = RevisedItem['item']['kind'];

/** Client of the operator API. No method rejects. */
export class OperatorClient {
	/** Base URL of the operator API, without the path. */
	readonly #address: string;
	readonly #token: string;

	constructor({
		address,
		token,
	}: {
		readonly address: string;
		readonly token: string;
	}) {
		this.#address = address;
		this.#token = token;
	}

	/** Lists all items. */
	async list(): Promise<
		OperatorAnswer<Pick<Catalogue, 'items' | 'nextOffset'>>
	> {
		return this.#call('GET', '');
	}

	/** Gets one item with its revision. */
	async show(
		kind: ItemKind,
		name: string,
	): Promise<OperatorAnswer<RevisedItem>> {
		return this.#call('GET', `/${kind}/${encodeURIComponent(name)}`);
	}

	/** Gets the latest changes of one item. */
	async history(
		kind: ItemKind,
		name: string,
	): Promise<OperatorAnswer<{readonly history: readonly PastEdit[]}>> {
		return this.#call('GET', `/${kind}/${encodeURIComponent(name)}/history`);
	}

	/** Creates or changes an item; `basedOn` is the revision to replace, 0 for a new item. */
	async put(
		kind: ItemKind,
		name: string,
		body: {
			readonly item: Readonly<Record<string, unknown>>;
			readonly basedOn: number;
			readonly editId?: string;
		},
	): Promise<OperatorAnswer<EditVerdict>> {
		return this.#call('PUT', `/${kind}/${encodeURIComponent(name)}`, body);
	}

	/** Deletes an item; `basedOn` is the revision to delete. */
	async delete(
		kind: ItemKind,
		name: string,
		basedOn: number,
		editId: string | undefined,
	): Promise<OperatorAnswer<EditVerdict>> {
		const query = new URLSearchParams({
			basedOn: String(basedOn),
			...(editId === undefined ? {} : {editId}),
		});
		return this.#call(
			'DELETE',
			`/${kind}/${encodeURIComponent(name)}?${query.toString()}`,
		);
	}

	/** Gets the verdict on an earlier edit. */
	async edit(editId: string): Promise<OperatorAnswer<EditVerdict>> {
		return this.#call('GET', `/edits/${encodeURIComponent(editId)}`);
	}

	/** Gets the freshness of the catalogue at the addressed entry VM. */
	async status(): Promise<OperatorAnswer<CatalogueStatus>> {
		return this.#call('GET', '/status');
	}

	/** Gets the entry VMs at which a revision is in force. */
	async inForce(revision: number): Promise<OperatorAnswer<InForceAnswer>> {
		return this.#call('GET', `/in-force?revision=${revision}`);
	}

	async #call<T>(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		body?: unknown,
	): Promise<OperatorAnswer<T>> {
		try {
			const response = await request(`${this.#address}/v1/catalogue${path}`, {
				method,
				headers: {
					authorization: `Bearer ${this.#token}`,
					...(body === undefined ? {} : {'content-type': 'application/json'}),
				},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
				signal: AbortSignal.timeout(requestTimeoutMs),
			});
			const responseBody: unknown = await response.body.json();
			return response.statusCode === 200
				? {kind: 'answer', body: responseBody as T}
				: {kind: 'problem', problem: problemSchema.parse(responseBody)};
		} catch (error: unknown) {
			const mayHaveTakenEffect = method !== 'GET';
			return {
				kind: 'problem',
				problem: {
					code: mayHaveTakenEffect ? 'may-have-taken-effect' : 'unreachable',
					message: `${this.#address} did not answer: ${getErrorMessage(error)}`,
				},
			};
		}
	}
}
