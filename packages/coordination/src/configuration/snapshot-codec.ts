import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {gunzipSync, gzip} from 'node:zlib';
import {upgradeAdapters, type Catalog} from '@bitternpaddle/state';

const compress = promisify(gzip);

/** Larger than any catalog that the system is designed for; data that decodes to more is corrupt. */
const decodedLimitBytes = 256 * 1024 * 1024;

/** Encodes as base64 of gzipped JSON. The result is about a fifteenth of the JSON's size, since the records of hosts are similar. */
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
