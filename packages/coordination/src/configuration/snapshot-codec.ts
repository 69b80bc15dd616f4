import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {gunzipSync, gzip} from 'node:zlib';
import {upgradeAdapters, type Catalog} from '@bitternpaddle/state';

const compress = promisify(gzip);

/** Above any catalog of the size that the system is built for; a larger one is damage. */
const decodedLimitBytes = 256 * 1024 * 1024;

/** JSON, gzip, base64: about a fifteenth of the JSON, since hosts resemble each other. */
export const encodeCatalog = async (catalog: Catalog): Promise<string> => {
	const packed = await compress(JSON.stringify(catalog));
	return packed.toString('base64');
};

export const decodeCatalog = (text: string): Catalog => {
	const unpacked = gunzipSync(Buffer.from(text, 'base64'), {maxOutputLength: decodedLimitBytes});
	const catalog = JSON.parse(unpacked.toString()) as Catalog;
	upgradeAdapters(catalog);
	return catalog;
};
