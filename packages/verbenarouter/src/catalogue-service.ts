import {createHash} from 'node:crypto';
import {
	type CatalogueEditor,
	type CatalogueAdministration,
	type CatalogueStatus,
	type EditRequest,
	type EditVerdict,
	type EntryVmState,
} from '@verbenarouter/operator';
import {type Catalogue} from '@verbenarouter/core';
import {type ProcessLogger} from './logger.js';
import {type CatalogueFollower} from './catalogue-follower.js';
import {type CatalogueRelay} from './catalogue-relay.js';

/** Author recorded for edits that were authorized by the bootstrap token. */
const bootstrapAuthor = 'bootstrap';

/** Options of {@link CatalogueService}. */
export type CatalogueServiceOptions = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly editor: CatalogueEditor;
	readonly logger: ProcessLogger;
	readonly entryVm: {readonly name: string; readonly zone: string};
	/** SHA-256 hash, in hexadecimal, of a token that authorizes operators while the catalogue has no team of operators. */
	readonly bootstrapTokenHash: string | undefined;
};

/** Implements the operator API on the catalogue of this entry VM. */
export class CatalogueService implements CatalogueAdministration {
	readonly #options: CatalogueServiceOptions;

	constructor(options: CatalogueServiceOptions) {
		this.#options = options;
	}

	get catalogue(): Catalogue | undefined {
		const {follower} = this.#options;
		return follower.isLoaded ? follower.catalogue : undefined;
	}

	findOperator(token: string): string | undefined {
		const {follower, bootstrapTokenHash} = this.#options;
		const hash = createHash('sha256').update(token).digest('hex');
		const team = follower.teamByTokenHash(hash);
		if (team !== undefined) {
			return team.role === 'operator' ? team.name : undefined;
		}

		const hasOperators = follower.catalogue.items.some(
			({item}) => item.kind === 'team' && item.role === 'operator',
		);
		return !hasOperators && hash === bootstrapTokenHash
			? bootstrapAuthor
			: undefined;
	}

	async refresh(): Promise<void> {
		await this.#options.follower.catchUp();
	}

	async write(request: EditRequest): Promise<EditVerdict> {
		const verdict = await this.#options.editor.write(request);
		const {key, basedOn, author, item} = request;
		this.#options.logger.info({
			event: 'edit',
			...key,
			change: item === null ? 'delete' : 'put',
			basedOn,
			author,
			...verdict,
		});
		return verdict;
	}

	async findEdit(editId: string): Promise<EditVerdict | undefined> {
		return this.#options.editor.findVerdict(editId);
	}

	status(): CatalogueStatus {
		const {follower, entryVm} = this.#options;
		return {entryVm: entryVm.name, zone: entryVm.zone, ...follower.status};
	}

	async queryInForce(revision: number): Promise<readonly EntryVmState[]> {
		return this.#options.relay.collectRevisionStates(
			revision,
			this.#options.entryVm,
		);
	}
}
