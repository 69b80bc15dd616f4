import {createRouteTable, type RouteTable} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {RequestProtocol} from './request-protocol.js';

/** The newest configuration that this process has received; it is never replaced by an older one. */
export type ConfigurationHolder = {
	number(): number;
	table(): RouteTable | null;
	/** Applies a configuration if it is newer and valid. */
	applyIfNewer(document: {readonly number: number; readonly text: string}): void;
};

export type ConfigurationHolderOptions = {
	readonly protocol: Pick<RequestProtocol, 'decodeConfiguration'>;
	readonly logger: Logger;
	onChange?(table: RouteTable): void;
};

export const createConfigurationHolder = ({protocol, logger, onChange}: ConfigurationHolderOptions): ConfigurationHolder => {
	let number = -1;
	let table: RouteTable | null = null;
	return {
		number: () => number,
		table: () => table,
		applyIfNewer(document) {
			if (document.number <= number) {
				return;
			}

			const decoded = protocol.decodeConfiguration(document.text);
			if (decoded.type === 'invalid') {
				logger.event('BP4004', {number: document.number, problems: decoded.problems.slice(0, 5)});
				return;
			}

			({number} = document);
			table = createRouteTable(decoded.configuration);
			logger.event('BP4003', {number});
			onChange?.(table);
		},
	};
};
