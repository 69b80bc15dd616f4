'use strict';
// Compiles a bundled program under the flags of this process, and keeps the compiled code for its launcher.
const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const v8 = require('node:v8');

const {cachePath, compile} = require(path.resolve(process.argv[2]));

// Every function is compiled now: those left for their first call would cost each process that call.
v8.setFlagsFromString('--no-lazy');
const script = compile();
// The flags at this moment are kept with the code, and must be those of the program.
v8.setFlagsFromString('--lazy');
fs.writeFileSync(cachePath(), script.createCachedData());
