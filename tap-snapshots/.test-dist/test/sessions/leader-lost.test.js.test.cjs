/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/leader-lost.test.js > TAP > a leader lost under an operator's hands > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet fair-mornings provider new for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet fair-mornings"
accepted at revision N

$ bitternpaddle run --command-id night-1 "create model night-desk"
accepted at revision N

(the leader is lost)

$ bitternpaddle run --command-id night-1 "create model night-desk"
accepted at revision N

$ bitternpaddle query "show models"
model       traffic
night-desk
pitch-desk  fair-mornings 100%

$ bitternpaddle run --if-revision N "create model dawn-desk"
accepted at revision N

$ bitternpaddle run --if-revision N "create model dusk-desk"
refused: expected revision N, it is N
(exit code 1)

$ bitternpaddle query "show models"
model       traffic
dawn-desk
night-desk
pitch-desk  fair-mornings 100%

$ bitternpaddle run --wait "move 10% of pitch-desk from fleet fair-mornings to fleet fair-mornings"
accepted at revision N

(12 callers: all got a whole answer)

`
