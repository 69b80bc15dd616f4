import process from 'node:process';
import {createFakeEngine} from '@bitternpaddle/test-support';

/** A fake engine as a process of its own; its argument is the time between two tokens. */
const engine = await createFakeEngine({tokenMs: Number(process.argv[2])});
process.stdout.write(`${engine.address}\n`);
