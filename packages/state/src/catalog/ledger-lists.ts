import type {Ledger, LedgerList} from './types.js';

/** Small lists are not worth moving. */
const fewestDone = 256;

/** Items of a list that are not done with. */
export const lengthOf = (ledger: Ledger, list: LedgerList): number => ledger[list].length - (ledger.starts?.[list] ?? 0);

export const peekFirst = <L extends LedgerList>(ledger: Ledger, list: L): Ledger[L][number] | undefined => ledger[list][ledger.starts?.[list] ?? 0];

/**
 * Takes the first item of a list that is not empty. `Array.prototype.shift`
 * moves all others each time in a list of this length; here they are moved
 * once a quarter of the list is done with, which is three moves an item.
 */
export const takeFirst = <L extends LedgerList>(ledger: Ledger, list: L): Ledger[L][number] => {
	ledger.starts ??= {claimOrder: 0, claimBodies: 0, resultOrder: 0};
	const item = ledger[list][ledger.starts[list]]!;
	ledger.starts[list]++;
	if (ledger.starts[list] >= fewestDone && ledger.starts[list] * 4 >= ledger[list].length) {
		ledger[list].splice(0, ledger.starts[list]);
		ledger.starts[list] = 0;
	}

	return item;
};
