/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
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

$ bitternpaddle run "create fleet new-halls provider new for pitch-desk:v1 replicas 3"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet new-halls"
accepted at revision N

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 100%

$ bitternpaddle run --wait "move 20% of pitch-desk from fleet old-halls to fleet new-halls"
accepted at revision N

$ bitternpaddle query "show models"
model       traffic
pitch-desk  old-halls 80%, new-halls 20%

(24 callers: all got a whole answer)

$ bitternpaddle run "move 90% of pitch-desk from fleet old-halls to fleet new-halls"
refused: fleet old-halls has 80% of pitch-desk, not 90%
(exit code 1)

$ bitternpaddle run --wait "move 80% of pitch-desk from fleet old-halls to fleet new-halls"
accepted at revision N

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

(12 callers: all got a whole answer)

$ bitternpaddle query "show replicas"
host  zone          fleet      version        ready  serving        status
h4    tacoma-hall   new-halls  pitch-desk:v1  true   pitch-desk:v1  serving
h5    salem-hall    new-halls  pitch-desk:v1  true   pitch-desk:v1  serving
h6    spokane-hall  new-halls  pitch-desk:v1  true   pitch-desk:v1  serving

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
old-halls  old       pitch-desk:v1  3                true    0

(12 callers: all got a whole answer)

`
