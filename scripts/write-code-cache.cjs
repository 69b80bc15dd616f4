'use strict';
// Compiles a bundled program with the flags of this process, and writes the code cache for its launcher.
const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const v8 = require('node:v8');

const {cachePath, compile} = require(path.resolve(process.argv[2]));

// Compiles every function eagerly: functions compiled at their first call would not be in the cache, and every process would have to compile them.
v8.setFlagsFromString('--no-lazy');
const script = compile();
// V8 stores the current flags in the cache; they must be those of the program.
v8.setFlagsFromString('--lazy');
fs.writeFileSync(cachePath(), script.createCachedData());
