#!/usr/bin/env node
import process from 'node:process';
import {keepYoungGenerationSmall} from '../dist/young-generation.js';

keepYoungGenerationSmall();
// Imported only now: a static import would load, and so grow, before the bound is set.
const {createDaemonProgram} = await import('../dist/program.js');
process.exitCode = await createDaemonProgram().run(process.argv.slice(2));
process.exit();
