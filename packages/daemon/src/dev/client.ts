import {readBody, sendHttp} from '@bitternpaddle/transport';

export type ClientAnswer = {readonly status: number; readonly headers: Record<string, string | string[] | undefined>; readonly text: string};

export type ClientOptions = {
	readonly address: string;
	readonly token: string;
	/** @default 30000 */
	readonly idleTimeoutMs?: number;
};

/** Sends a JSON request as a caller or an operator. */
export const postJson = async (options: ClientOptions & {readonly path: string; readonly body: unknown; readonly headers?: Record<string, string>}): Promise<ClientAnswer> => {
	const {address, token, path, body, headers = {}, idleTimeoutMs = 30_000} = options;
	const response = await sendHttp({
		address, method: 'POST', path, idleTimeoutMs, body: JSON.stringify(body), agent: false,
		headers: {'content-type': 'application/json', authorization: `Bearer ${token}`, ...headers},
	});
	return {status: response.statusCode!, headers: response.headers, text: (await readBody(response)).toString()};
};

/** Fetches JSON as an operator. */
export const fetchJson = async ({address, token, path, idleTimeoutMs = 30_000}: ClientOptions & {readonly path: string}): Promise<ClientAnswer> => {
	const response = await sendHttp({
		address, path, idleTimeoutMs, agent: false, headers: {authorization: `Bearer ${token}`},
	});
	return {status: response.statusCode!, headers: response.headers, text: (await readBody(response)).toString()};
};

export type CommandAnswer = {
	readonly status: number;
	readonly body: {
		readonly type?: string;
		readonly revision?: number;
		readonly rows?: Array<Record<string, string | number | boolean | null>>;
		readonly missingEntries?: string[];
		readonly message?: string;
		readonly error?: {readonly type: string; readonly message: string; readonly column?: number; readonly expected?: string[]};
	};
};

/** Sends one line of the operators' command language. */
export const sendLine = async (options: ClientOptions & {readonly line: string; readonly commandId?: string; readonly ifRevision?: number}): Promise<CommandAnswer> => {
	const {line, commandId, ifRevision, ...client} = options;
	const {status, text} = await postJson({...client, path: '/admin/v1/commands', body: {line, commandId, ifRevision}});
	return {status, body: JSON.parse(text) as CommandAnswer['body']};
};

export type WaitOptions = {
	/** @default 30000 */
	readonly timeoutMs?: number;
};

/** Polls `check` until it returns `true`; on a timeout, throws an error that names the condition. */
export const waitUntil = async (condition: string, check: () => Promise<boolean> | boolean, {timeoutMs = 30_000}: WaitOptions = {}): Promise<void> => {
	const deadlineAtMs = performance.now() + timeoutMs;
	while (performance.now() < deadlineAtMs) {
		if (await check()) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	throw new Error(`condition "${condition}" was not met within ${timeoutMs} ms`);
};
