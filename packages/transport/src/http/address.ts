/** `ip:port`; processes talk by IP numbers only. */
export type Address = {readonly host: string; readonly port: number};

export const parseAddress = (text: string): Address => {
	const position = text.lastIndexOf(':');
	return {host: text.slice(0, position), port: Number(text.slice(position + 1))};
};
