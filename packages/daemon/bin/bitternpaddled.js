#!/usr/bin/env node
import process from 'node:process';
import {keepYoungGenerationSmall} from '../dist/young-generation.js';

keepYoungGenerationSmall();
// A dynamic import: a static one would load the program, and grow the young generation, before the limit is set.
const {createDaemonProgram} = await import('../dist/program.js');
process.exitCode = await createDaemonProgram().run(process.argv.slice(2));
process.exit();
