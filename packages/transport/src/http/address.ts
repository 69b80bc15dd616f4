/** A parsed `ip:port`. Processes connect by IP address only; host names are not resolved. */
export type Address = {readonly host: string; readonly port: number};

export const parseAddress = (text: string): Address => {
	const position = text.lastIndexOf(':');
	return {host: text.slice(0, position), port: Number(text.slice(position + 1))};
};
