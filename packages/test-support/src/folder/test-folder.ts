import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

/** The part of a test that a test folder needs. */
export type TestFolderOwner = {
	teardown(handler: () => void): void;
};

/**
 * Creates a folder that exists until all later teardowns of the test have run: a node
 * that still writes there would make the removal fail. The folder is unique, because
 * the runner's test directory is shared by all runs of a test file in one checkout, and
 * a core host that opens the log of another run follows that run's hosts.
 */
export const testFolder = (t: TestFolderOwner): string => {
	const folder = mkdtempSync(path.join(tmpdir(), 'bitternpaddle-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true, force: true});
	});
	return folder;
};
