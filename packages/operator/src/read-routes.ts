import {type ItemKey} from '@verbenarouter/core';
import {type FastifyInstance, type FastifyReply} from 'fastify';
import {z} from 'zod';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {
	toValidationIssues,
	sendValidationIssues,
	sendError,
} from './operator-answer.js';
import {type OperatorGuard} from './operator-guard.js';

const revisionQuerySchema = z.object({
	revision: z.coerce.number().int().positive(),
});

/** Adds the routes that show the whole catalogue, its status, where a revision is in force, and the verdict on an edit. */
export function addCatalogueRoutes(
	server: FastifyInstance,
	administration: CatalogueAdministration,
	guard: OperatorGuard,
): void {
	server.get(
		'/v1/catalogue',
		guard.requireOperator(async (_request, _reply, {catalogue}) => ({
			nextOffset: catalogue.nextOffset,
			items: catalogue.items,
		})),
	);
	server.get(
		'/v1/catalogue/status',
		guard.requireOperator(async () => administration.status()),
	);
	server.get(
		'/v1/catalogue/in-force',
		guard.requireOperator(async (request, reply) => {
			const query = revisionQuerySchema.safeParse(request.query);
			if (!query.success) {
				return sendValidationIssues(reply, toValidationIssues(query.error));
			}

			const {revision} = query.data;
			const entryVms = await administration.queryInForce(revision);
			return {
				revision,
				isInForceEverywhere: entryVms.every(({inForce}) => inForce === 'yes'),
				entryVms,
			};
		}),
	);
	server.get<{Params: {editId: string}}>(
		'/v1/catalogue/edits/:editId',
		guard.requireOperator(async (request, reply) => {
			const {editId} = request.params as {editId: string};
			const verdict = await administration.findEdit(editId);
			return verdict === undefined
				? sendError(
						reply,
						404,
						'edit-unknown',
						`The latest records that this entry VM has read have none of the edit "${editId}".`,
					)
				: reply.send(verdict);
		}),
	);
}

/** Adds the routes that show one item and its history. */
export function addItemRoutes(
	server: FastifyInstance,
	guard: OperatorGuard,
): void {
	server.get(
		'/v1/catalogue/:kind/:name',
		guard.requireOperatorAndKey(async (key, _request, reply, {catalogue}) => {
			const found = catalogue.find({...key});
			return found === undefined
				? sendUnknownItem(reply, key)
				: reply.header('etag', `"${found.revision}"`).send(found);
		}),
	);
	server.get(
		'/v1/catalogue/:kind/:name/history',
		guard.requireOperatorAndKey(async (key, _request, reply, {catalogue}) => {
			const history = catalogue.history(key);
			return history.length === 0
				? sendUnknownItem(reply, key)
				: reply.send({history});
		}),
	);
}

async function sendUnknownItem(
	reply: FastifyReply,
	{kind, name}: ItemKey,
): Promise<FastifyReply> {
	return sendError(
		reply,
		404,
		'item-unknown',
		`The catalogue has no ${kind} "${name}".`,
	);
}
