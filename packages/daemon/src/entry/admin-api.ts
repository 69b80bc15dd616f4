import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	addBurnAnswer, burnReportOf, burnRowsByService, createBurnMerge, type BurnReportOptions, type BurnRow,
} from '@bitternpaddle/coordination';
import {
	parseStatement, rpcErrorCodes, type ParseError, type QueryResult, type Show, type Statement,
} from '@bitternpaddle/protocol';
import {commandIdSchema, type Change} from '@bitternpaddle/state';
import {BodyTooLargeError, readBody, sendJson} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import * as z from 'zod';
import {selectRows} from '../control/answer-query.js';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {
	mayAct, roleOfToken, type AdminRole, type AdminToken,
} from './admin-tokens.js';
import type {EntryPeers} from './entry-peers.js';
import {inForceAfter} from './in-force.js';
import {explainReplica, explainRequest, requestRow} from './explain.js';

export type AdminApiOptions = {
	readonly configuration: ConfigurationClient;
	readonly peers: EntryPeers;
	readonly tokens: readonly AdminToken[];
};

export const adminPrefix = '/admin/v1/';
export const commandsPath = `${adminPrefix}commands`;
/** `GET` with a revision appended: on how many hosts that revision is in force. */
export const inForcePrefix = `${adminPrefix}in-force/`;
export const burnReportPath = `${adminPrefix}reports/burn`;

const bodySchema = z.object({
	line: z.string().min(1).max(4096, 'expected at most 4096 characters'),
	commandId: commandIdSchema.optional(),
	ifRevision: z.number().int().nonnegative().optional(),
	/** Delays the response until the change is in force on every host in service, for at most this long. */
	waitMs: z.number().int().nonnegative().max(600_000).optional(),
});
type CommandBody = z.infer<typeof bodySchema>;

const bodyLimitBytes = 16_384;

/** An error response, in the format that all errors of the API have. */
class AdminError extends Error {
	override readonly name = 'AdminError';

	constructor(readonly status: number, readonly type: string, message: string, readonly place: Partial<ParseError> = {}) {
		super(message);
	}
}

const isAdministration = ({type}: Change): boolean => type.startsWith('create') || type === 'setObjective';

const neededRole = (statement: Statement): AdminRole => match(statement)
	.with({type: 'query'}, {type: 'explain'}, () => 'read' as const)
	.with({type: 'change'}, ({change}) => isAdministration(change) ? 'administer' as const : 'operate' as const)
	.exhaustive();

/** Handles `POST /admin/v1/commands`, with one line of the operators' language, `GET /admin/v1/in-force/` and `GET /admin/v1/reports/burn`. */
export const createAdminHandler = ({configuration, peers, tokens}: AdminApiOptions) => {
	const runLine = async (token: string, body: CommandBody): Promise<{status: number; body: unknown}> => {
		const statement = parseLine(body.line);
		assertRole(tokens, token, neededRole(statement));
		return match(statement)
			.with({type: 'query'}, async ({show}) => ({status: 200, body: await query(token, show)}))
			.with({type: 'explain', subject: 'request'}, async ({id}) => ({status: 200, body: await explainRequestById(token, id)}))
			.with({type: 'explain', subject: 'replica'}, async ({id}) => ({status: 200, body: await explainHost(id)}))
			.with({type: 'change'}, async ({change}) => {
				const result = await configuration.propose({
					commandId: body.commandId ?? commandIdSchema.parse(randomUUID()), ifRevision: body.ifRevision ?? null, change,
				});
				return result.type === 'accepted'
					? {status: 200, body: {...result, inForce: await inForceAfter(configuration, result.revision, body.waitMs ?? 0)}}
					: {status: 409, body: result};
			})
			.exhaustive();
	};

	const query = async (token: string, show: Show): Promise<QueryResult> => {
		if (show.subject !== 'requests') {
			return configuration.query(show);
		}

		const {answers, missingEntries} = await peers.requests(token, {type: 'inFlight'});
		const rows = answers.flatMap(({records}) => records).map(record => requestRow(record, Date.now()));
		return {revision: configuration.catalog().revision, rows: selectRows(rows, show.where), ...missingEntriesField(missingEntries)};
	};

	const explainRequestById = async (token: string, requestId: string): Promise<QueryResult> => {
		const {answers, missingEntries} = await peers.requests(token, {type: 'byId', requestId});
		const [record] = answers.flatMap(({records}) => records);
		if (record === undefined) {
			const where = missingEntries.length === 0 ? 'any entry' : `the entries that answered; ${missingEntries.join(', ')} did not`;
			throw new AdminError(404, 'not_found', `request ${requestId} is not, or no longer, known to ${where}`);
		}

		return {revision: configuration.catalog().revision, rows: explainRequest(record)};
	};

	const explainHost = async (hostId: string): Promise<QueryResult> => {
		const where = [{field: 'host', operator: '=' as const, value: hostId}];
		const [hosts, transfers] = await Promise.all([
			configuration.query({type: 'show', subject: 'hosts', where}),
			configuration.query({type: 'show', subject: 'transfers', where}),
		]);
		return {
			revision: configuration.catalog().revision,
			rows: explainReplica({
				catalog: configuration.catalog(), hostId, hostRow: hosts.rows[0], transferRows: transfers.rows,
			}),
		};
	};

	const burnReport = async (token: string): Promise<unknown> => {
		assertRole(tokens, token, 'read');
		const nowMs = Date.now();
		const objectives = new Map(Object.entries(configuration.catalog().services)
			.flatMap(([serviceId, {objective}]) => objective === undefined ? [] : [[serviceId, objective]]));
		const merge = createBurnMerge();
		const missingEntries = await peers.burn(token, nowMs, async answer => {
			for (const _step of addBurnAnswer(merge, answer)) {
				await nextTurn();
			}
		});
		const options: BurnReportOptions = {nowMs, objectives, missingEntries};
		const rows: BurnRow[] = [];
		for (const serviceRows of burnRowsByService(merge, options)) {
			rows.push(...serviceRows);
			await nextTurn();
		}

		return burnReportOf(merge, options, rows);
	};

	return async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		try {
			const token = bearerOf(request) ?? '';
			assertRole(tokens, token, 'read');
			if (request.method === 'POST' && request.url === commandsPath) {
				const {status, body} = await runLine(token, await readCommand(request));
				sendJson(response, status, body);
			} else if (request.method === 'GET' && request.url === burnReportPath) {
				sendJson(response, 200, await burnReport(token));
			} else if (request.method === 'GET' && /^\d+$/v.test(request.url!.slice(inForcePrefix.length)) && request.url!.startsWith(inForcePrefix)) {
				sendJson(response, 200, await configuration.queryInForce(Number(request.url!.slice(inForcePrefix.length))));
			} else {
				throw new AdminError(404, 'not_found', `${request.method} ${request.url}: expected POST ${commandsPath} or GET ${burnReportPath}`);
			}
		} catch (error) {
			sendAdminError(response, toAdminError(error as Error));
		}
	};
};

/** Omits the field if every entry answered. */
const missingEntriesField = (missingEntries: readonly string[]): {missingEntries?: readonly string[]} => missingEntries.length === 0 ? {} : {missingEntries};

const parseLine = (line: string): Statement => parseStatement(line).caseOf({
	Left(error) {
		throw new AdminError(400, 'invalid_request', error.message, {column: error.column, expected: error.expected});
	},
	Right: statement => statement,
});

const assertRole = (tokens: readonly AdminToken[], token: string, needed: AdminRole): void => {
	const role = roleOfToken(tokens, token);
	if (role === null) {
		throw new AdminError(401, 'unauthorized', 'an administration token is needed');
	}

	if (!mayAct(role, needed)) {
		throw new AdminError(403, 'unauthorized', `this needs a token for "${needed}", this one is for "${role}"`);
	}
};

const toAdminError = (error: Error): AdminError => {
	if (error instanceof AdminError) {
		return error;
	}

	return (error as {code?: number}).code === rpcErrorCodes.invalid
		? new AdminError(400, 'invalid_request', error.message)
		: new AdminError(503, 'unavailable', error.message);
};

const sendAdminError = (response: http.ServerResponse, {status, type, message, place}: AdminError): void => {
	// The rest of a rejected body is not read, so the connection cannot be reused.
	const headers: http.OutgoingHttpHeaders = status === 413 ? {connection: 'close'} : {};
	sendJson(response, status, {error: {type, message, ...place}}, headers);
};

export const bearerOf = (request: http.IncomingMessage): string | null => /^Bearer (\S+)$/v.exec(request.headers.authorization ?? '')?.[1] ?? null;

const readCommand = async (request: http.IncomingMessage): Promise<CommandBody> => {
	let body: unknown;
	try {
		body = JSON.parse((await readBody(request, bodyLimitBytes)).toString());
	} catch (error) {
		throw error instanceof BodyTooLargeError
			? new AdminError(413, 'invalid_request', error.message)
			: new AdminError(400, 'invalid_request', 'the body is not JSON');
	}

	const parsed = bodySchema.safeParse(body);
	if (!parsed.success) {
		throw new AdminError(400, 'invalid_request', z.prettifyError(parsed.error));
	}

	return parsed.data;
};
