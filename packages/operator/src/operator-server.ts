/** The operators' HTTP interface: the catalogue under `/v1/catalogue`. */
import {randomUUID} from 'node:crypto';
import {
	Catalogue,
	catalogueItemSchema,
	editIdSchema,
	faultsOfDeletion,
	faultsOfItem,
	nameSchema,
	type ItemFault,
	type ItemKey,
} from '@verbenarouter/core';
import fastify, {
	type FastifyInstance,
	type FastifyReply,
	type FastifyRequest,
} from 'fastify';
import {z} from 'zod';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {readBasedOn} from './based-on.js';
import {sendFaults, sendProblem, sendVerdict} from './operator-answer.js';

/** Bytes of one request body at most. */
export const operatorBodyLimitBytes = 1_000_000;

const keySchema = z.object({kind: z.enum(['entry', 'team']), name: nameSchema});
const revisionQuerySchema = z.object({
	revision: z.coerce.number().int().positive(),
});
const putBodySchema = z.strictObject({
	item: z.record(z.string(), z.unknown()),
	basedOn: z.number().int().nonnegative().optional(),
	editId: editIdSchema.optional(),
});
const deleteQuerySchema = z.strictObject({
	basedOn: z.coerce.number().int().positive().optional(),
	editId: editIdSchema.optional(),
});

type Authorized = {
	readonly operator: string;
	readonly catalogue: Catalogue;
};

type Handler = (
	request: FastifyRequest,
	reply: FastifyReply,
	authorized: Authorized,
) => Promise<unknown>;

/** Builds the operators' interface; the caller of this function listens and closes. */
export function createOperatorServer(
	administration: CatalogueAdministration,
): FastifyInstance {
	const server = fastify({
		bodyLimit: operatorBodyLimitBytes,
		forceCloseConnections: 'idle',
	});
	server.setErrorHandler(
		async (error: {statusCode?: number}, _request, reply) =>
			sendProblem(
				reply,
				error.statusCode ?? 500,
				error.statusCode === undefined ? 'internal' : 'bad-request',
				error instanceof Error ? error.message : 'unexpected',
			),
	);

	/** Faults that are still there after a look at the log: the catalogue here may lag behind an edit made elsewhere. */
	const confirmed = async (
		check: (known: Catalogue) => readonly ItemFault[],
	): Promise<readonly ItemFault[]> => {
		const faults = check(administration.catalogue ?? new Catalogue());
		if (faults.length === 0) {
			return [];
		}

		await administration.refresh();
		return check(administration.catalogue ?? new Catalogue());
	};

	const guarded =
		(handler: Handler) =>
		async (request: FastifyRequest, reply: FastifyReply): Promise<unknown> => {
			const {catalogue} = administration;
			if (catalogue === undefined) {
				return sendProblem(
					reply,
					503,
					'not-ready',
					'This entry VM has not heard of the catalogue yet, neither from the platform nor from a peer.',
				);
			}

			const operator = operatorOf(administration, request);
			return operator === undefined
				? sendProblem(
						reply,
						401,
						'unauthenticated',
						'The bearer token of a team with the role "operator" is needed.',
					)
				: handler(request, reply, {operator, catalogue});
		};

	server.get(
		'/v1/catalogue',
		guarded(async (_request, _reply, {catalogue}) => ({
			nextOffset: catalogue.nextOffset,
			items: catalogue.items,
		})),
	);
	server.get(
		'/v1/catalogue/status',
		guarded(async () => administration.status()),
	);
	server.get(
		'/v1/catalogue/in-force',
		guarded(async (request, reply) => {
			const query = revisionQuerySchema.safeParse(request.query);
			if (!query.success) {
				return sendFaults(reply, faultsOf(query.error));
			}

			const {revision} = query.data;
			const entryVms = await administration.inForce(revision);
			return {
				revision,
				isInForceEverywhere: entryVms.every(({inForce}) => inForce === 'yes'),
				entryVms,
			};
		}),
	);
	server.get<{Params: {editId: string}}>(
		'/v1/catalogue/edits/:editId',
		guarded(async (request, reply) => {
			const {editId} = request.params as {editId: string};
			const verdict = await administration.findEdit(editId);
			return verdict === undefined
				? sendProblem(
						reply,
						404,
						'edit-unknown',
						'No record of this edit is among the latest ones that this entry VM has read.',
					)
				: reply.send(verdict);
		}),
	);

	const withKey = (
		handler: (
			key: ItemKey,
			...rest: Parameters<Handler>
		) => ReturnType<Handler>,
	) =>
		guarded(async (request, reply, authorized) => {
			const key = keySchema.safeParse(request.params);
			return key.success
				? handler(key.data, request, reply, authorized)
				: sendFaults(reply, faultsOf(key.error));
		});

	server.get(
		'/v1/catalogue/:kind/:name',
		withKey(async (key, _request, reply, {catalogue}) => {
			const found = catalogue.find({...key});
			return found === undefined
				? sendUnknownItem(reply, key)
				: reply.header('etag', `"${found.revision}"`).send(found);
		}),
	);
	server.get(
		'/v1/catalogue/:kind/:name/history',
		withKey(async (key, _request, reply, {catalogue}) => {
			const history = catalogue.history(key);
			return history.length === 0
				? sendUnknownItem(reply, key)
				: reply.send({history});
		}),
	);

	server.put(
		'/v1/catalogue/:kind/:name',
		withKey(async (key, request, reply, {operator}) => {
			const body = putBodySchema.safeParse(request.body);
			if (!body.success) {
				return sendFaults(reply, faultsOf(body.error));
			}

			const item = catalogueItemSchema.safeParse({...key, ...body.data.item});
			if (!item.success) {
				return sendFaults(reply, faultsOf(item.error, 'item'));
			}

			const basedOn = readBasedOn(request.headers, body.data.basedOn);
			const itemFaults = await confirmed((known) =>
				faultsOfItem(item.data, known),
			);
			const faults = [
				...faultsOfKey(key, item.data),
				...itemFaults.map((fault) => withinItem(fault)),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return faults.length > 0 || basedOn.isErr()
				? sendFaults(reply, faults)
				: sendVerdict(
						reply,
						await administration.write({
							...editIdOf(body.data.editId),
							key,
							basedOn: basedOn.value,
							item: item.data,
							author: operator,
						}),
					);
		}),
	);
	server.delete(
		'/v1/catalogue/:kind/:name',
		withKey(async (key, request, reply, {operator}) => {
			const query = deleteQuerySchema.safeParse(request.query);
			if (!query.success) {
				return sendFaults(reply, faultsOf(query.error));
			}

			const basedOn = readBasedOn(request.headers, query.data.basedOn);
			const faults = [
				...(await confirmed((known) => faultsOfDeletion(key, known))),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return faults.length > 0 || basedOn.isErr()
				? sendFaults(reply, faults)
				: sendVerdict(
						reply,
						await administration.write({
							...editIdOf(query.data.editId),
							key,
							basedOn: basedOn.value,
							item: null,
							author: operator,
						}),
					);
		}),
	);

	return server;
}

function operatorOf(
	administration: CatalogueAdministration,
	request: FastifyRequest,
): string | undefined {
	const [scheme, token] = request.headers.authorization?.split(' ') ?? [];
	return scheme?.toLowerCase() === 'bearer' && token !== undefined
		? administration.operatorOf(token)
		: undefined;
}

function editIdOf(given: string | undefined): {
	readonly editId: string;
	readonly isFirstAttempt: boolean;
} {
	return {editId: given ?? randomUUID(), isFirstAttempt: given === undefined};
}

function faultsOfKey(key: ItemKey, item: ItemKey): readonly ItemFault[] {
	return (['kind', 'name'] as const)
		.filter((field) => key[field] !== item[field])
		.map((field) => ({
			path: `item.${field}`,
			message: `must be "${key[field]}", as in the path`,
		}));
}

function withinItem({path, message}: ItemFault): ItemFault {
	return {path: path === '' ? 'item' : `item.${path}`, message};
}

function faultsOf(error: z.ZodError, prefix?: string): readonly ItemFault[] {
	return error.issues.map(({path, message}) => ({
		path: [...(prefix === undefined ? [] : [prefix]), ...path].join('.'),
		message,
	}));
}

async function sendUnknownItem(
	reply: FastifyReply,
	{kind, name}: ItemKey,
): Promise<FastifyReply> {
	return sendProblem(
		reply,
		404,
		'item-unknown',
		`The catalogue has no ${kind} "${name}".`,
	);
}
