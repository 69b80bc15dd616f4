const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;

/** Bounds on what one sender outside this process may send, in bytes unless a name says otherwise. At the bound the connection is reset. */
export const readLimits = {
	/** Informational answers (1xx) before an answer; each has a head of at most 16 KiB. */
	informationalAnswers: 16,
	/** One event of a stream; the events of engines have a few hundred bytes. */
	event: 256 * kibibyte,
	/** A refusal whose head already tells that the request was not run. */
	refusal: 64 * kibibyte,
	/** An answer, and a stream whose maximum number of tokens is not known. */
	answer: 16 * mebibyte,
	/** What a stream may have beside its tokens: fields of its first and last events, comments. */
	streamBase: 256 * kibibyte,
	/** One token of a stream with the fields of its event. */
	streamToken: 2 * kibibyte,
	/** Status and health of an endpoint, and the outcome of an order. */
	report: 256 * kibibyte,
	/** The digest of one chunk in a list, with its separators. */
	digest: 128,
	/** Result of a call to another process of the system. */
	callResult: 64 * mebibyte,
} as const;

/** The most bytes that a stream of at most `maxTokens` tokens may have; 0 tokens: not known. */
export const maxStreamBytes = (maxTokens: number): number => maxTokens > 0
	? Math.min(readLimits.answer, readLimits.streamBase + (maxTokens * readLimits.streamToken))
	: readLimits.answer;

/** The most bytes that a list of the digests of `chunks` chunks may have. */
export const maxDigestListBytes = (chunks: number): number => readLimits.report + (chunks * readLimits.digest);
