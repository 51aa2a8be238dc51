import {
	Catalogue,
	nameSchema,
	type ValidationIssue,
	type ItemKey,
} from '@verbenarouter/core';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {
	toValidationIssues,
	sendValidationIssues,
	sendError,
} from './operator-answer.js';

const keySchema = z.object({kind: z.enum(['entry', 'team']), name: nameSchema});

/** Context of an authenticated request: the operator's name and the newest catalogue of this entry VM. */
export type OperatorContext = {
	readonly operator: string;
	readonly catalogue: Catalogue;
};

/** Answers an authenticated request of an operator. */
export type OperatorHandler = (
	request: FastifyRequest,
	reply: FastifyReply,
	context: OperatorContext,
) => Promise<unknown>;

type RouteHandler = (
	request: FastifyRequest,
	reply: FastifyReply,
) => Promise<unknown>;

/** Wraps route handlers: a request reaches its handler only if a catalogue is loaded and the token is an operator's. */
export class OperatorGuard {
	readonly #administration: CatalogueAdministration;

	constructor(administration: CatalogueAdministration) {
		this.#administration = administration;
	}

	/** Wraps a handler: answers 503 without a catalogue, and 401 without an operator's token. */
	requireOperator(handler: OperatorHandler): RouteHandler {
		return async (request, reply) => {
			const {catalogue} = this.#administration;
			if (catalogue === undefined) {
				return sendError(
					reply,
					503,
					'not-ready',
					'This entry VM has not received a catalogue yet, neither from the platform nor from a peer.',
				);
			}

			const operator = this.#findOperator(request);
			return operator === undefined
				? sendError(
						reply,
						401,
						'unauthenticated',
						'The bearer token of a team with the role "operator" is required.',
					)
				: handler(request, reply, {operator, catalogue});
		};
	}

	/** Wraps a handler of one item as `requireOperator` does, and answers 400 if the path has no valid kind and name. */
	requireOperatorAndKey(
		handler: (
			key: ItemKey,
			...rest: Parameters<OperatorHandler>
		) => Promise<unknown>,
	): RouteHandler {
		return this.requireOperator(async (request, reply, context) => {
			const key = keySchema.safeParse(request.params);
			return key.success
				? handler(key.data, request, reply, context)
				: sendValidationIssues(reply, toValidationIssues(key.error));
		});
	}

	/**
	 * Returns the issues that `check` finds in the newest catalogue. If it finds any, the log is read and the check
	 * repeated, since this entry VM's catalogue may lag behind an edit made on another one.
	 */
	async validateWithRefresh(
		check: (catalogue: Catalogue) => readonly ValidationIssue[],
	): Promise<readonly ValidationIssue[]> {
		const administration = this.#administration;
		const issues = check(administration.catalogue ?? new Catalogue());
		if (issues.length === 0) {
			return [];
		}

		await administration.refresh();
		return check(administration.catalogue ?? new Catalogue());
	}

	#findOperator(request: FastifyRequest): string | undefined {
		const [scheme, token] = request.headers.authorization?.split(' ') ?? [];
		return scheme?.toLowerCase() === 'bearer' && token !== undefined
			? this.#administration.findOperator(token)
			: undefined;
	}
}
