/** The administration interface's view of this entry VM. */
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

/** Name under which edits are recorded that the bootstrap token allowed. */
const bootstrapAuthor = 'bootstrap';

/** Parts that the service connects. */
export type CatalogueServiceParts = {
	readonly follower: CatalogueFollower;
	readonly relay: CatalogueRelay;
	readonly editor: CatalogueEditor;
	readonly logger: ProcessLogger;
	readonly entryVm: {readonly name: string; readonly zone: string};
	/** SHA-256 of a token that may administer while the catalogue has no team of operators. */
	readonly bootstrapTokenHash: string | undefined;
};

/** The administration interface's view of this entry VM. */
export class CatalogueService implements CatalogueAdministration {
	readonly #parts: CatalogueServiceParts;

	constructor(parts: CatalogueServiceParts) {
		this.#parts = parts;
	}

	get catalogue(): Catalogue | undefined {
		const {follower} = this.#parts;
		return follower.isLoaded ? follower.catalogue : undefined;
	}

	findOperator(token: string): string | undefined {
		const {follower, bootstrapTokenHash} = this.#parts;
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
		await this.#parts.follower.follow();
	}

	async write(request: EditRequest): Promise<EditVerdict> {
		const verdict = await this.#parts.editor.write(request);
		const {key, basedOn, author, item} = request;
		this.#parts.logger.info({
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
		return this.#parts.editor.findVerdict(editId);
	}

	status(): CatalogueStatus {
		const {follower, entryVm} = this.#parts;
		return {entryVm: entryVm.name, zone: entryVm.zone, ...follower.status};
	}

	async queryInForce(revision: number): Promise<readonly EntryVmState[]> {
		return this.#parts.relay.inForce(revision, this.#parts.entryVm);
	}
}
