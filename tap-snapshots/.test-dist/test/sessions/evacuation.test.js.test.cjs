/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/evacuation.test.js > TAP > a zone evacuation with streams running > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet fair-mornings provider new for pitch-desk:v1 replicas 3"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet fair-mornings"
accepted at revision N

$ bitternpaddle run "evacuate zone salem"
refused: no zone salem: no host is in it and no fleet names it; known zones: salem-hall, spokane-hall, tacoma-hall
(exit code 1)

$ bitternpaddle run --wait "evacuate zone salem-hall"
accepted at revision N

(streams still run on h2)

$ bitternpaddle query "show zones"
zone          hosts  serving  evacuated
salem-hall    1      0        true
spokane-hall  1      1        false
tacoma-hall   2      2        false

$ bitternpaddle query "explain replica h2"
aspect         fine   finding
serving        false  no, or not for long: look at zone, assignment
lease          true   renewed
configuration  true   at revision N, which is in force
order          true   none for the host itself
zone           false  salem-hall is evacuated by an operator's order; "restore zone salem-hall" takes it back
assignment     false  none while zone salem-hall is evacuated
transfer       true   pitch-desk:v1 ready, 16/16 chunks, N bytes from the origin, N from peers

(all 18 streams ended whole)

(30 callers: all got a whole answer)

$ bitternpaddle run --wait "restore zone salem-hall"
accepted at revision N

$ bitternpaddle query "show zones"
zone          hosts  serving  evacuated
salem-hall    1      1        false
spokane-hall  1      1        false
tacoma-hall   2      2        false

(the restored zone gets requests again)

`
