import {createWriteStream} from 'node:fs';
import {
	createConsensus, createRandom, stepConsensus, type ConsensusEvent, type ConsensusOptions, type ConsensusState,
} from '@bitternpaddle/coordination';
import {canonicalJson, digestOf} from '@bitternpaddle/state';

/** The initial state of the recorded state machine. */
export type RecordingHeader = {
	readonly machine: 'consensus';
	readonly seed: number;
	readonly options: Omit<ConsensusOptions, 'random'>;
};

/** One step: the event, the time and a digest of the effects. */
export type RecordedStep = {readonly nowMs: number; readonly event: ConsensusEvent; readonly effectsDigest: string};

export type Recorder = {
	begin(header: RecordingHeader): void;
	step(nowMs: number, event: ConsensusEvent, effects: unknown): void;
	close(): Promise<void>;
};

/** Writes one JSON line for the header and one for each step. */
export const createRecorder = (filePath: string): Recorder => {
	const output = createWriteStream(filePath);
	return {
		begin(header) {
			output.write(`${canonicalJson(header)}\n`);
		},
		step(nowMs, event, effects) {
			output.write(`${canonicalJson({nowMs, event, effectsDigest: digestOf(effects)})}\n`);
		},
		close: async () => new Promise(resolve => {
			output.end(resolve);
		}),
	};
};

export type ReplayResult
	= | {readonly type: 'same'; readonly steps: number; readonly term: number; readonly commitIndex: number}
		| {readonly type: 'different'; readonly line: number; readonly event: ConsensusEvent; readonly effects: unknown};

/** Replays a recording and returns the first step whose effects differ. */
export const replayRecording = (text: string): ReplayResult => {
	const lines = text.split('\n').filter(line => line !== '');
	const header = JSON.parse(lines[0] ?? 'null') as RecordingHeader | null;
	if (header?.machine !== 'consensus') {
		throw new Error('the file is not a recording: its first line names no known state machine');
	}

	const state: ConsensusState = createConsensus({...header.options, random: createRandom(header.seed)});
	for (const [position, line] of lines.slice(1).entries()) {
		const step = JSON.parse(line) as RecordedStep;
		const effects = stepConsensus(state, step.event, step.nowMs);
		if (digestOf(effects) !== step.effectsDigest) {
			return {
				type: 'different', line: position + 2, event: step.event, effects,
			};
		}
	}

	return {
		type: 'same', steps: lines.length - 1, term: state.term, commitIndex: state.commitIndex,
	};
};
