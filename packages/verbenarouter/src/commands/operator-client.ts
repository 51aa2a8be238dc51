/** A client of the operators' interface. */
import {
	type Catalogue,
	type PastEdit,
	type RevisedItem,
} from '@verbenarouter/core';
import {type CatalogueStatus, type EditVerdict} from '@verbenarouter/operator';
import {request} from 'undici';
import {z} from 'zod';
import {getErrorMessage} from '../error-message.js';
import {type InForceAnswer} from './catalogue-text.js';

/** Longer than an entry VM takes to find out what became of an edit. */
const timeoutMs = 30_000;

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

/** An answer, or why there is none. */
export type OperatorAnswer<T> =
	| {readonly kind: 'answer'; readonly body: T}
	| {
			readonly kind: 'problem';
			readonly problem: Readonly<z.infer<typeof problemSchema>>;
	  };

type Kind = RevisedItem['item']['kind'];

/** A client of the operators' interface. No method rejects. */
export class OperatorClient {
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

	async list(): Promise<
		OperatorAnswer<Pick<Catalogue, 'items' | 'nextOffset'>>
	> {
		return this.#call('GET', '');
	}

	async show(kind: Kind, name: string): Promise<OperatorAnswer<RevisedItem>> {
		return this.#call('GET', `/${kind}/${encodeURIComponent(name)}`);
	}

	async history(
		kind: Kind,
		name: string,
	): Promise<OperatorAnswer<{readonly history: readonly PastEdit[]}>> {
		return this.#call('GET', `/${kind}/${encodeURIComponent(name)}/history`);
	}

	async put(
		kind: Kind,
		name: string,
		body: {
			readonly item: Readonly<Record<string, unknown>>;
			readonly basedOn: number;
			readonly editId?: string;
		},
	): Promise<OperatorAnswer<EditVerdict>> {
		return this.#call('PUT', `/${kind}/${encodeURIComponent(name)}`, body);
	}

	async delete(
		kind: Kind,
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

	async edit(editId: string): Promise<OperatorAnswer<EditVerdict>> {
		return this.#call('GET', `/edits/${encodeURIComponent(editId)}`);
	}

	async status(): Promise<OperatorAnswer<CatalogueStatus>> {
		return this.#call('GET', '/status');
	}

	async inForce(revision: number): Promise<OperatorAnswer<InForceAnswer>> {
		return this.#call('GET', `/in-force?revision=${revision}`);
	}

	async #call<T>(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		body?: unknown,
	): Promise<OperatorAnswer<T>> {
		try {
			const answer = await request(`${this.#address}/v1/catalogue${path}`, {
				method,
				headers: {
					authorization: `Bearer ${this.#token}`,
					...(body === undefined ? {} : {'content-type': 'application/json'}),
				},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
				signal: AbortSignal.timeout(timeoutMs),
			});
			const answered: unknown = await answer.body.json();
			return answer.statusCode === 200
				? {kind: 'answer', body: answered as T}
				: {kind: 'problem', problem: problemSchema.parse(answered)};
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
