import winston from 'winston';
import {ignore} from '../utils.js';
import {logEvents, type LogEventDefinition, type LogEventId} from './events.js';

export type Logger = {
	event(id: LogEventId, fields?: Record<string, unknown>): void;
};

export type CreateLoggerOptions = {
	/** @default 'info' */
	readonly level?: 'error' | 'warn' | 'info' | 'debug' | 'silent';
	/** Fields added to every log line, such as the host and the role. */
	readonly labels?: Record<string, string>;
};

export const createLogger = ({level = 'info', labels = {}}: CreateLoggerOptions = {}): Logger => {
	const output = winston.createLogger({
		level: level === 'silent' ? 'error' : level,
		silent: level === 'silent',
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Console({stderrLevels: ['error', 'warn', 'info', 'debug']})],
	});
	return {
		event(id, fields = {}) {
			const definition: LogEventDefinition = logEvents[id];
			output.log({
				level: definition.level, message: definition.text, event: id, ...labels, ...fields,
			});
		},
	};
};

export const silentLogger: Logger = {
	event: ignore,
};
