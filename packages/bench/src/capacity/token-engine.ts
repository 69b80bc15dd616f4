import process from 'node:process';
import {createFakeEngine} from '@bitternpaddle/test-support';

/** Runs a fake engine in its own process; the argument is the time between two tokens in milliseconds. */
const engine = await createFakeEngine({tokenMs: Number(process.argv[2])});
process.stdout.write(`${engine.address}\n`);
