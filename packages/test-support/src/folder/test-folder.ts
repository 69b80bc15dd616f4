/** The part of a test that a test folder needs. */
export type TestFolderOwner = {
	teardown(handler: () => void): void;
	testdir(): string;
};

/**
 * Creates a folder that exists until all teardowns of the test have run. The test
 * runner removes its test directory before the teardowns that are registered after
 * it: a node that still writes there makes the removal fail (ENOTEMPTY), and the
 * node is never closed. If a teardown is registered first, all teardowns run before
 * the removal.
 */
export const testFolder = (t: TestFolderOwner): string => {
	t.teardown(() => undefined);
	return t.testdir();
};
