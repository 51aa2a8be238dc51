/** What all routes of the operators' interface ask first: a catalogue, a token, and a valid name. */
import {
	Catalogue,
	nameSchema,
	type ValidationIssue,
	type ItemKey,
} from '@verbenarouter/core';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {faultsOf, sendFaults, sendProblem} from './operator-answer.js';

const keySchema = z.object({kind: z.enum(['entry', 'team']), name: nameSchema});

/** Who asks, and the catalogue as it is known. */
export type Authorized = {
	readonly operator: string;
	readonly catalogue: Catalogue;
};

/** Answers a request of an operator. */
export type OperatorHandler = (
	request: FastifyRequest,
	reply: FastifyReply,
	authorized: Authorized,
) => Promise<unknown>;

type RouteHandler = (
	request: FastifyRequest,
	reply: FastifyReply,
) => Promise<unknown>;

/** Lets only operators through to the routes. */
export class OperatorGuard {
	readonly #administration: CatalogueAdministration;

	constructor(administration: CatalogueAdministration) {
		this.#administration = administration;
	}

	/** A route for operators. */
	guarded(handler: OperatorHandler): RouteHandler {
		return async (request, reply) => {
			const {catalogue} = this.#administration;
			if (catalogue === undefined) {
				return sendProblem(
					reply,
					503,
					'not-ready',
					'This entry VM has not heard of the catalogue yet, neither from the platform nor from a peer.',
				);
			}

			const operator = this.#operatorOf(request);
			return operator === undefined
				? sendProblem(
						reply,
						401,
						'unauthenticated',
						'The bearer token of a team with the role "operator" is needed.',
					)
				: handler(request, reply, {operator, catalogue});
		};
	}

	/** A route for operators about one item. */
	withKey(
		handler: (
			key: ItemKey,
			...rest: Parameters<OperatorHandler>
		) => Promise<unknown>,
	): RouteHandler {
		return this.guarded(async (request, reply, authorized) => {
			const key = keySchema.safeParse(request.params);
			return key.success
				? handler(key.data, request, reply, authorized)
				: sendFaults(reply, faultsOf(key.error));
		});
	}

	/** Faults that are still there after a look at the log: the catalogue here may lag behind an edit made elsewhere. */
	async confirmed(
		check: (known: Catalogue) => readonly ValidationIssue[],
	): Promise<readonly ValidationIssue[]> {
		const administration = this.#administration;
		const faults = check(administration.catalogue ?? new Catalogue());
		if (faults.length === 0) {
			return [];
		}

		await administration.refresh();
		return check(administration.catalogue ?? new Catalogue());
	}

	#operatorOf(request: FastifyRequest): string | undefined {
		const [scheme, token] = request.headers.authorization?.split(' ') ?? [];
		return scheme?.toLowerCase() === 'bearer' && token !== undefined
			? this.#administration.operatorOf(token)
			: undefined;
	}
}
