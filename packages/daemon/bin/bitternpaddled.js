#!/usr/bin/env node
import process from 'node:process';
import {createDaemonProgram} from '../dist/program.js';

process.exitCode = await createDaemonProgram().run(process.argv.slice(2));
process.exit();
