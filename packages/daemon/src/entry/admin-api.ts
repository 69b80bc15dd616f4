import {randomUUID, timingSafeEqual} from 'node:crypto';
import type http from 'node:http';
import {parseStatement, type Statement} from '@bitternpaddle/protocol';
import {commandIdSchema, sha256, type Change} from '@bitternpaddle/state';
import {readBody, sendJson} from '@bitternpaddle/transport';
import {z} from 'zod';
import type {ConfigurationClient} from '../host/configuration-client.js';

export const adminRoles = ['read', 'operate', 'administer'] as const;
export type AdminRole = typeof adminRoles[number];

export type AdminToken = {readonly role: AdminRole; readonly token: string};

export type AdminApiOptions = {
	readonly configuration: ConfigurationClient;
	readonly tokens: readonly AdminToken[];
};

const bodySchema = z.object({
	line: z.string().min(1).max(4096),
	commandId: commandIdSchema.optional(),
	ifRevision: z.number().int().nonnegative().optional(),
});

const bodyLimitBytes = 16_384;

/** Compares digests, so that the time taken tells nothing about the token. */
const roleOf = (tokens: readonly AdminToken[], presented: string): AdminRole | null => {
	const digest = new TextEncoder().encode(sha256(presented));
	let role: AdminRole | null = null;
	for (const known of tokens) {
		if (timingSafeEqual(new TextEncoder().encode(sha256(known.token)), digest)) {
			({role} = known);
		}
	}

	return role;
};

const neededRole = (statement: Statement): AdminRole => {
	if (statement.type === 'query') {
		return 'read';
	}

	return isAdministration(statement.change) ? 'administer' : 'operate';
};

const isAdministration = ({type}: Change): boolean => type.startsWith('create') || type === 'setObjective';

/** `POST /admin/v1/commands`: one line of the operators' language. */
export const createAdminHandler = ({configuration, tokens}: AdminApiOptions) => async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	const role = roleOf(tokens, bearerOf(request) ?? '');
	if (role === null) {
		sendError(response, 401, 'unauthorized', 'an administration token is needed');
		return;
	}

	const body = await readCommand(request);
	if (typeof body === 'string') {
		sendError(response, 400, 'invalid_request', body);
		return;
	}

	const parsed = parseStatement(body.line);
	if (parsed.isLeft()) {
		const {message, column, expected} = parsed.extract() as {message: string; column: number; expected: string[]};
		sendJson(response, 400, {
			error: {
				type: 'invalid_request', message, column, expected,
			},
		});
		return;
	}

	const statement = parsed.unsafeCoerce();
	if (adminRoles.indexOf(role) < adminRoles.indexOf(neededRole(statement))) {
		sendError(response, 403, 'unauthorized', `this needs a token for "${neededRole(statement)}", this one is for "${role}"`);
		return;
	}

	try {
		if (statement.type === 'query') {
			sendJson(response, 200, await configuration.query(statement.show));
			return;
		}

		const result = await configuration.propose({
			commandId: body.commandId ?? commandIdSchema.parse(randomUUID()), ifRevision: body.ifRevision ?? null, change: statement.change,
		});
		sendJson(response, result.type === 'accepted' ? 200 : 409, result);
	} catch (error) {
		sendError(response, 503, 'unavailable', (error as Error).message);
	}
};

export const bearerOf = (request: http.IncomingMessage): string | null => /^Bearer (\S+)$/v.exec(request.headers.authorization ?? '')?.[1] ?? null;

const sendError = (response: http.ServerResponse, status: number, type: string, message: string): void => {
	sendJson(response, status, {error: {type, message}});
};

const readCommand = async (request: http.IncomingMessage): Promise<z.infer<typeof bodySchema> | string> => {
	try {
		const parsed = bodySchema.safeParse(JSON.parse((await readBody(request, bodyLimitBytes)).toString()));
		return parsed.success ? parsed.data : z.prettifyError(parsed.error);
	} catch (error) {
		return (error as Error).message;
	}
};
