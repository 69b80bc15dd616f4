/** What of a test a folder needs. */
export type FolderOwner = {
	teardown(handler: () => void): void;
	testdir(): string;
};

/**
 * A folder that is there until everything in the test has been torn down. The
 * test runner removes a folder of its own before the teardowns that are registered
 * after it: a node that still writes there makes the removal fail (ENOTEMPTY), and
 * the node is never closed. With one teardown registered first, all of them come first.
 */
export const testFolder = (t: FolderOwner): string => {
	t.teardown(() => undefined);
	return t.testdir();
};
