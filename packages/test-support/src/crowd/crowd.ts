import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** The part of a test that ends a crowd's connections. */
export type CrowdScope = {teardown(close: () => unknown): void};

export type CrowdOptions = {
	readonly address: string;
	/** Number of connections. */
	readonly count: number;
	/** What each connection sends, as far as it is read; the connections stay open. @default nothing */
	readonly parts?: readonly Buffer[];
	/** Whether the answers are read. @default true */
	readonly isReading?: boolean;
};

/** A member of a crowd. */
export type CrowdMember = {
	readonly socket: net.Socket;
	/** What it received, at most the first 4 KiB. */
	text(): string;
	isClosed(): boolean;
	/** Whether everything was handed to the kernel. */
	isSent(): boolean;
};

export type Crowd = {
	readonly members: readonly CrowdMember[];
	/** Resolves once each member has sent everything or was closed, or none has made progress for a while. */
	settled(): Promise<void>;
	close(): void;
};

const keptTextBytes = 4096;
const pollIntervalMs = 25;
/** A server that stops reading holds its senders up for good. */
const maxStandstillMs = 2000;
const maxConnecting = 64;

const openMember = (scope: CrowdScope, {address, parts = [], isReading = true}: CrowdOptions): CrowdMember => {
	const [host, port] = address.split(':') as [string, string];
	const socket = net.connect({host, port: Number(port), allowHalfOpen: true});
	const received: Buffer[] = [];
	let receivedBytes = 0;
	let isClosed = false;
	let next = 0;
	const sendNext = (): void => {
		while (next < parts.length && !socket.destroyed) {
			next++;
			if (!socket.write(parts[next - 1]!)) {
				socket.once('drain', sendNext);
				return;
			}
		}
	};

	scope.teardown(() => {
		socket.destroy();
	});
	socket.on('error', () => undefined);
	socket.on('end', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		isClosed = true;
	});
	socket.once('connect', sendNext);
	if (isReading) {
		socket.on('data', (part: Buffer) => {
			if (receivedBytes < keptTextBytes) {
				received.push(part);
				receivedBytes += part.length;
			}
		});
	}

	return {
		socket, text: () => Buffer.concat(received).toString('latin1', 0, keptTextBytes), isClosed: () => isClosed,
		isSent: () => !socket.connecting && next === parts.length && socket.writableLength === 0,
	};
};

/** Opens connections that send the same bytes and stay open until the server or the test closes them. */
export const openCrowd = async (scope: CrowdScope, options: CrowdOptions): Promise<Crowd> => {
	const members: CrowdMember[] = [];
	while (members.length < options.count) {
		members.push(openMember(scope, options));
		while (members.filter(({socket}) => socket.connecting).length >= maxConnecting) {
			await delay(1);
		}
	}

	const progress = (): number => members.reduce((sum, {socket}) => sum + socket.bytesWritten - socket.writableLength + Number(socket.destroyed), 0);

	return {
		members,
		async settled() {
			let lastProgress = -1;
			let progressAtMs = performance.now();
			while (members.some(member => !member.isClosed() && !member.isSent()) && performance.now() - progressAtMs < maxStandstillMs) {
				await delay(pollIntervalMs);
				if (progress() !== lastProgress) {
					lastProgress = progress();
					progressAtMs = performance.now();
				}
			}
		},
		close() {
			for (const {socket} of members) {
				socket.destroy();
			}
		},
	};
};
