#!/usr/bin/env node
import process from 'node:process';
import {createOperatorProgram} from '../dist/index.js';

process.exitCode = await createOperatorProgram().run(process.argv.slice(2));
