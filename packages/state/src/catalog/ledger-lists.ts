import type {Ledger, LedgerList} from './types.js';

/** Smaller numbers of consumed items are not worth the removal. */
const minRemovedItems = 256;

/** Number of items of a list that are not consumed yet. */
export const remainingLength = (ledger: Ledger, list: LedgerList): number => ledger[list].length - (ledger.starts?.[list] ?? 0);

export const peekFirst = <L extends LedgerList>(ledger: Ledger, list: L): Ledger[L][number] | undefined => ledger[list][ledger.starts?.[list] ?? 0];

/**
 * Consumes the first item of a list that is not empty. `Array.prototype.shift`
 * would move all other items on each call at these list lengths; here they are
 * moved once a quarter of the list is consumed, which is three moves per item.
 */
export const removeFirst = <L extends LedgerList>(ledger: Ledger, list: L): Ledger[L][number] => {
	ledger.starts ??= {claimOrder: 0, claimBodies: 0, resultOrder: 0};
	const item = ledger[list][ledger.starts[list]]!;
	ledger.starts[list]++;
	if (ledger.starts[list] >= minRemovedItems && ledger.starts[list] * 4 >= ledger[list].length) {
		ledger[list].splice(0, ledger.starts[list]);
		ledger.starts[list] = 0;
	}

	return item;
};
