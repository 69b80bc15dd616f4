/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/migration.test.js > TAP > a move that errors of the new fleet stop is rolled back > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet old-halls provider old for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet old-halls"
accepted at revision N

$ bitternpaddle run "create fleet new-halls provider new for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet new-halls"
accepted at revision N

$ bitternpaddle run --wait "move 20% of pitch-desk from fleet old-halls to fleet new-halls"
accepted at revision N

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 80%, new-halls 20%

(24 callers: all got a whole answer)

$ bitternpaddle run "move 90% of pitch-desk from fleet old-halls to fleet new-halls"
refused: fleet old-halls has 80% of pitch-desk, not 90%
(exit code 1)

$ bitternpaddle run --wait "move 20% of pitch-desk from fleet new-halls to fleet old-halls"
accepted at revision N

$ bitternpaddle run "move 100% of pitch-desk from fleet old-halls to fleet new-halls in steps of 50% every 600 s stopping above 5%"
accepted at revision N

$ bitternpaddle query "show moves"
model       from       to         state    moved  of   step  detail
pitch-desk  old-halls  new-halls  running  50     100  1

(24 callers: all got a whole answer)

(the new fleet breaks off every answer)

(callers ask until \`show moves where state = stopped\` has a row)

$ bitternpaddle query "show moves"
model       from       to         state    moved  of   step  detail
pitch-desk  old-halls  new-halls  stopped  50     100  1     N of N requests to new-halls failed, more than 5%

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 50%, new-halls 50%

$ bitternpaddle run "retire fleet new-halls"
refused: fleet new-halls still has 50% of pitch-desk
(exit code 1)

$ bitternpaddle run --wait "roll back move of pitch-desk"
accepted at revision N

$ bitternpaddle query "show moves"
model       from       to         state       moved  of   step  detail
pitch-desk  old-halls  new-halls  rolledBack  0      100  1

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 100%

(24 callers: all got a whole answer)

$ bitternpaddle run "resume move of pitch-desk"
refused: no move of pitch-desk is stopped
(exit code 1)

$ bitternpaddle run --wait "retire fleet new-halls"
accepted at revision N

$ bitternpaddle query "show fleets"
fleet      provider  version        replicas  zones  loaded  ready
old-halls  old       pitch-desk:v1  2                true    2

(12 callers: all got a whole answer)

`

exports[`.test-dist/test/sessions/migration.test.js > TAP > a provider migration from first load to retirement > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet old-halls provider old for pitch-desk:v1 replicas 3"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet old-halls"
accepted at revision N

$ bitternpaddle query "show fleets"
fleet      provider  version        replicas  zones  loaded  ready
old-halls  old       pitch-desk:v1  3                true    3

(12 callers: all got a whole answer)

$ bitternpaddle run --wait "drain host h6"
accepted at revision N

$ bitternpaddle run "create fleet new-halls provider new for pitch-desk:v1 replicas 3"
accepted at revision N

$ bitternpaddle run "load pitch-desk:v1 on fleet new-halls"
accepted at revision N

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 100%

$ bitternpaddle run "move 100% of pitch-desk from fleet old-halls to fleet new-halls in steps of 50% every 1 s stopping above 5%"
accepted at revision N

$ bitternpaddle query "show moves"
model       from       to         state    moved  of   step  detail
pitch-desk  old-halls  new-halls  running  50     100  1

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 50%, new-halls 50%

(24 callers: all got a whole answer)

$ bitternpaddle run "move 50% of pitch-desk from fleet old-halls to fleet new-halls"
refused: a move of pitch-desk in steps is running; stop it first
(exit code 1)

$ bitternpaddle run "stop move of pitch-desk"
accepted at revision N

$ bitternpaddle query "show moves"
model       from       to         state    moved  of   step  detail
pitch-desk  old-halls  new-halls  stopped  50     100  1     stopped by an operator

$ bitternpaddle run "retire fleet old-halls"
refused: fleet old-halls still has 50% of pitch-desk
(exit code 1)

$ bitternpaddle run --wait "undrain host h6"
accepted at revision N

(24 callers: all got a whole answer)

$ bitternpaddle query "show moves"
model       from       to         state    moved  of   step  detail
pitch-desk  old-halls  new-halls  stopped  50     100  1     stopped by an operator

$ bitternpaddle run "resume move of pitch-desk"
accepted at revision N

$ bitternpaddle query "show moves"
model       from       to         state  moved  of   step  detail
pitch-desk  old-halls  new-halls  done   100    100  3

$ bitternpaddle query "show models"
model       traffic
pitch-desk  new-halls 100%

(24 callers: all got a whole answer)

$ bitternpaddle run --wait "drain host h1"
accepted at revision N

$ bitternpaddle run --wait "drain host h2"
accepted at revision N

$ bitternpaddle run --wait "drain host h3"
accepted at revision N

$ bitternpaddle run --wait "retire fleet old-halls"
accepted at revision N

$ bitternpaddle run "roll back move of pitch-desk"
refused: fleet old-halls is no longer loaded
(exit code 1)

(12 callers: all got a whole answer)

$ bitternpaddle query "show replicas"
host  zone          fleet      version        ready  serving        adapters  status
h4    tacoma-hall   new-halls  pitch-desk:v1  true   pitch-desk:v1            serving
h5    salem-hall    new-halls  pitch-desk:v1  true   pitch-desk:v1            serving
h6    spokane-hall  new-halls  pitch-desk:v1  true   pitch-desk:v1            serving

$ bitternpaddle run "stop host h1"
accepted at revision N

$ bitternpaddle run "stop host h2"
accepted at revision N

$ bitternpaddle run "stop host h3"
accepted at revision N

$ bitternpaddle query "show hosts where service = bp-writers and revision < 0"
(none)

$ bitternpaddle query "show fleets"
fleet      provider  version        replicas  zones  loaded  ready
new-halls  new       pitch-desk:v1  3                true    3

(12 callers: all got a whole answer)

`
